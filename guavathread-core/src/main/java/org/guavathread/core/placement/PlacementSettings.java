package org.guavathread.core.placement;

/** Settings of a {@link PlacementCell}. Immutable; each setter returns a changed copy. */
public record PlacementSettings(
        int tokensPerPiece,
        int tokensPerPrefixBlock,
        int kilobytesPerToken,
        int maxQueued,
        int maxQueuedPerWorkspace,
        long reservationMillis,
        long reportStaleMillis,
        long prefillKeepMillis,
        long prefillLookaheadMillis,
        long targetMarginMillis,
        int tokenMillis,
        int prefillTokensPerMilli,
        int fairLeadTokens,
        int lateSharePercent,
        int headroomPieces) {

    /** Settings of sheet sizes of today. */
    public static final PlacementSettings DEFAULTS = new PlacementSettings(
            1_000, // size of a piece of engine memory (design page, section 1.7)
            256, // block of the engines' prefix cache
            128, // 1,400 GB/s of KV cache over 7,300 requests/s of about 1,500 tokens
            8_192, // bounds the memory of a cell to a few megabytes
            1_024, // holds a minute of a large workspace's excess at today's rates
            3_000, // three renewals of 1 s
            1_000, // an engine whose report is older may be stalled or dead
            800, // engines keep a prefill result this long
            8, // covers the messages from the grant to the start of the prefill
            60, // messages and up to two decode steps follow the transfer; 10 ms let requests miss the target narrowly
            26, // target of the time between tokens
            30, // start value; the cell learns the rate of each engine
            16_000, // about eight requests; bounds how far priority may move a workspace ahead of its fair share
            5, // late requests advance under overload, at a cost of one grant in twenty
            4); // late requests and workspaces far above their share leave room for nearly any request that can still
    // meet its target

    /** Copies with another size of a piece, in tokens. */
    public PlacementSettings withTokensPerPiece(int value) {
        return new PlacementSettings(
                value,
                tokensPerPrefixBlock,
                kilobytesPerToken,
                maxQueued,
                maxQueuedPerWorkspace,
                reservationMillis,
                reportStaleMillis,
                prefillKeepMillis,
                prefillLookaheadMillis,
                targetMarginMillis,
                tokenMillis,
                prefillTokensPerMilli,
                fairLeadTokens,
                lateSharePercent,
                headroomPieces);
    }

    /** Copies with other bounds of the queue, in requests. */
    public PlacementSettings withQueueBounds(int total, int eachWorkspace) {
        return new PlacementSettings(
                tokensPerPiece,
                tokensPerPrefixBlock,
                kilobytesPerToken,
                total,
                eachWorkspace,
                reservationMillis,
                reportStaleMillis,
                prefillKeepMillis,
                prefillLookaheadMillis,
                targetMarginMillis,
                tokenMillis,
                prefillTokensPerMilli,
                fairLeadTokens,
                lateSharePercent,
                headroomPieces);
    }

    /**
     * Gives the pieces that a number of tokens needs.
     *
     * @param tokens tokens, at least 0
     * @return the pieces, rounded up, at least 1
     */
    public int piecesFor(int tokens) {
        return Math.max(1, (tokens + tokensPerPiece - 1) / tokensPerPiece);
    }
}
