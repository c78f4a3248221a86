package org.guavathread.core.claim;

/**
 * Times and limits of claims. All hosts must use the same times.
 *
 * @param retentionMillis how long a claim is kept, in milliseconds
 * @param voterCount how many hosts vote on a key
 * @param dispatchMillis how long after its arrival a request may be dispatched, in milliseconds
 * @param clockSkewMillis largest difference between the clocks of two hosts, in milliseconds
 * @param issueLeadMillis how far the clock of a caller may run ahead of a host, in milliseconds
 * @param resendMillis after what time an unanswered message is sent again, in milliseconds
 * @param confirmMillis how long a coordinator waits for voters to confirm an abort, in milliseconds
 * @param maxEntries how many keys a voter records at most
 * @param maxAnswerBytes how many bytes of answers a voter, or a holder, keeps at most
 */
public record ClaimSettings(
        long retentionMillis,
        int voterCount,
        long dispatchMillis,
        long clockSkewMillis,
        long issueLeadMillis,
        long resendMillis,
        long confirmMillis,
        int maxEntries,
        long maxAnswerBytes) {

    /** Largest answer that is kept for resends; the frame limit of 256 KiB leaves room for it. */
    public static final int MAX_KEPT_ANSWER_BYTES = 64 * 1024;

    /** 65,536 entries of about 300 bytes and 8 MiB of answers stay below the 32 MB that a host may use. */
    private static final int DEFAULT_MAX_ENTRIES = 65_536;

    private static final long DEFAULT_MAX_ANSWER_BYTES = 8L * 1024 * 1024;

    /**
     * Builds the settings of section 5.2 of the design.
     *
     * @param retentionMillis how long a claim is kept, in milliseconds
     * @return the settings
     */
    public static ClaimSettings defaults(long retentionMillis) {
        return new ClaimSettings(
                retentionMillis, 5, 2_000, 1_000, 2_000, 200, 600, DEFAULT_MAX_ENTRIES, DEFAULT_MAX_ANSWER_BYTES);
    }

    /**
     * Copies the settings with another number of voters.
     *
     * @param count the number of voters
     * @return the copy
     */
    public ClaimSettings withVoterCount(int count) {
        return new ClaimSettings(
                retentionMillis,
                count,
                dispatchMillis,
                clockSkewMillis,
                issueLeadMillis,
                resendMillis,
                confirmMillis,
                maxEntries,
                maxAnswerBytes);
    }

    /**
     * Copies the settings with other limits.
     *
     * @param entries how many keys a voter records at most
     * @param answerBytes how many bytes of answers are kept at most
     * @return the copy
     */
    public ClaimSettings withLimits(int entries, long answerBytes) {
        return new ClaimSettings(
                retentionMillis,
                voterCount,
                dispatchMillis,
                clockSkewMillis,
                issueLeadMillis,
                resendMillis,
                confirmMillis,
                entries,
                answerBytes);
    }

    /**
     * Gives how long claims and epochs are remembered. A resend that arrives at the end of the retention may claim the
     * key until its dispatch deadline and abort until the abort is confirmed, and clocks differ; all this is added to
     * the retention.
     *
     * @return milliseconds
     */
    public long memoryMillis() {
        return retentionMillis + dispatchMillis + confirmMillis + Math.max(issueLeadMillis, clockSkewMillis);
    }

    /**
     * Gives how many keys of one workspace a voter records at most, so that one workspace cannot fill the voter.
     *
     * @return a quarter of all entries, at least 1
     */
    public int maxEntriesOfWorkspace() {
        return Math.max(1, maxEntries / 4);
    }
}
