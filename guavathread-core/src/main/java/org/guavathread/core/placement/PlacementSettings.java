package org.guavathread.core.placement;

/** Settings of a {@link PlacementCell}. */
public record PlacementSettings(
        int tokensPerPiece,
        int tokensPerPrefixBlock,
        int kilobytesPerToken,
        int maxQueued,
        int maxQueuedPerWorkspace,
        long reservationMillis,
        long reportStaleMillis,
        long prefillRetentionMillis,
        long prefillLookaheadMillis,
        long targetMarginMillis,
        int millisPerToken,
        int prefillTokensPerMilli,
        int maxPriorityLeadTokens,
        int lateSharePercent,
        int headroomPieces) {

    /** Defaults for sheets of the present size. */
    public static final PlacementSettings DEFAULTS = new PlacementSettings(
            1_000, // size of a piece of engine memory (design page, section 1.7)
            256, // block of the engines' prefix cache
            128, // 1,400 GB/s of KV cache transfer for 7,300 requests/s of about 1,500 tokens
            8_192, // limits the memory of the queue to a few megabytes
            1_024, // one minute of excess requests of a large workspace at present rates
            3_000, // three renewal intervals of 1 s
            1_000, // an engine whose report is older may be stalled or dead
            800, // engines keep a prefill result this long
            8, // covers the message delay from the grant to the start of the prefill
            60, // messages and up to two decode steps after the transfer; at 10 ms, requests narrowly missed the target
            26, // target for the time between tokens
            30, // initial value; the rate of each engine is then measured
            16_000, // about eight requests; limits how far priority may move a workspace ahead of its fair share
            5, // late requests still progress under overload and take one grant in twenty
            4); // memory that late requests and workspaces far above their share must leave free; enough for nearly any
    // request that can still meet its target

    /** Returns a copy with another size of a piece, in tokens. */
    public PlacementSettings withTokensPerPiece(int value) {
        return new PlacementSettings(
                value,
                tokensPerPrefixBlock,
                kilobytesPerToken,
                maxQueued,
                maxQueuedPerWorkspace,
                reservationMillis,
                reportStaleMillis,
                prefillRetentionMillis,
                prefillLookaheadMillis,
                targetMarginMillis,
                millisPerToken,
                prefillTokensPerMilli,
                maxPriorityLeadTokens,
                lateSharePercent,
                headroomPieces);
    }

    /** Returns a copy with other limits of the queue, in requests. */
    public PlacementSettings withQueueBounds(int total, int eachWorkspace) {
        return new PlacementSettings(
                tokensPerPiece,
                tokensPerPrefixBlock,
                kilobytesPerToken,
                total,
                eachWorkspace,
                reservationMillis,
                reportStaleMillis,
                prefillRetentionMillis,
                prefillLookaheadMillis,
                targetMarginMillis,
                millisPerToken,
                prefillTokensPerMilli,
                maxPriorityLeadTokens,
                lateSharePercent,
                headroomPieces);
    }

    /**
     * Returns the pieces that the given number of tokens occupies.
     *
     * @param tokens tokens, at least 0
     * @return the pieces, rounded up, at least 1
     */
    public int piecesFor(int tokens) {
        return Math.max(1, (tokens + tokensPerPiece - 1) / tokensPerPiece);
    }
}
