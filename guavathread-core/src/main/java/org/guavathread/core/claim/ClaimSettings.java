package org.guavathread.core.claim;

/**
 * Times and limits of claims. All hosts must use the same times.
 *
 * @param retentionMillis how long a claim is kept, in milliseconds
 * @param voterCount how many hosts vote on a key
 * @param dispatchMillis how long after its arrival a request may be dispatched, in milliseconds
 * @param clockSkewMillis largest difference between the clocks of two hosts, in milliseconds
 * @param issueLeadMillis how far the clock of a caller may run ahead of a host, in milliseconds
 * @param resendMillis how long after sending an unanswered message is sent again, in milliseconds
 * @param confirmMillis how long a coordinator waits for voters to confirm an abort, in milliseconds
 * @param maxEntries largest number of keys that a voter records
 * @param maxAnswerBytes largest total size of the answers that a voter or a coordinator keeps, in bytes
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

    /** Largest answer that is kept for resends; it fits into a frame, whose limit is 256 KiB. */
    public static final int MAX_KEPT_ANSWER_BYTES = 64 * 1024;

    /** 65,536 entries of about 300 bytes and 8 MiB of answers stay below the 32 MB that a host may use. */
    private static final int DEFAULT_MAX_ENTRIES = 65_536;

    private static final long DEFAULT_MAX_ANSWER_BYTES = 8L * 1024 * 1024;

    /**
     * Returns the default settings, as listed in section 5.2 of the design.
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
     * @param entries largest number of keys that a voter records
     * @param answerBytes largest total size of the answers that are kept, in bytes
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
     * Returns how long claims and superseded epochs are remembered. A resend that arrives at the end of the retention
     * may claim the key until its dispatch deadline, and its abort may take until the confirmation deadline; these times
     * and the clock skew are added to the retention.
     *
     * @return milliseconds
     */
    public long recordLifetimeMillis() {
        return retentionMillis + dispatchMillis + confirmMillis + Math.max(issueLeadMillis, clockSkewMillis);
    }

    /**
     * Returns the largest number of keys that a voter records for one workspace, so that one workspace cannot fill it.
     *
     * @return a quarter of all entries, at least 1
     */
    public int maxEntriesOfWorkspace() {
        return Math.max(1, maxEntries / 4);
    }
}
