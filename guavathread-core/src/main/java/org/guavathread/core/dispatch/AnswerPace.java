package org.guavathread.core.dispatch;

/** How long engines take for an answer, learnt from those that ended well. */
public final class AnswerPace {

    /** Weight of the latest answer: some twenty answers decide, as a batch changes its size within seconds. */
    private static final double LATEST_WEIGHT = 0.05;

    /** Assumed until answers were seen: one step of an engine with a batch half full. */
    private static final double FIRST_MILLIS_PER_TOKEN = 8;

    private double millisPerToken = FIRST_MILLIS_PER_TOKEN;

    /**
     * Notes an answer.
     *
     * @param expectedTokens tokens that were expected of it
     * @param millis time from its first to its last event
     */
    public void answered(int expectedTokens, long millis) {
        if (expectedTokens > 0) {
            millisPerToken += (millis / (double) expectedTokens - millisPerToken) * LATEST_WEIGHT;
        }
    }

    /**
     * Estimates how long an answer takes.
     *
     * @param expectedTokens tokens that are expected of it
     * @return milliseconds from its first to its last event
     */
    public long expectedMillis(int expectedTokens) {
        return (long) (expectedTokens * millisPerToken);
    }

    /**
     * Gives the latest time after which a caller that is turned away can return and still get its whole answer.
     *
     * @param remainingMillis time that the caller has left
     * @param waitMillis time that it may need for room and its first event
     * @param expectedTokens tokens that are expected of its answer
     * @return milliseconds, 0 if it had to return at once
     */
    public long latestReturnMillis(long remainingMillis, long waitMillis, int expectedTokens) {
        return Math.max(0, remainingMillis - waitMillis - expectedMillis(expectedTokens));
    }
}
