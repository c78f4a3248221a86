package org.guavathread.core.dispatch;

/** Estimates how long engines take to generate an answer, from the answers that completed. */
public final class AnswerDurationEstimator {

    /** Minimum weight of the latest answer in the average: about 20 answers, since batch sizes change within seconds. */
    private static final double MIN_WEIGHT = 0.05;

    /** Estimate before the first answer: one decode step of an engine whose batch is half full. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 8;

    /** Fraction of an overrun that is left after the next answer; half of it is left after 34 answers. */
    private static final double OVERRUN_FADING = 0.98;

    /** Overrun that a process counts with which has just started and knows nothing of its engines. */
    private static final double INITIAL_OVERRUN = 2;

    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

    /** Answers in the average; the initial estimate counts as one, so that a few answers outweigh it. */
    private int answers = 1;

    /** Largest recent ratio of the time that a request took to its estimate; at least 1. */
    private double overrun = INITIAL_OVERRUN;

    /**
     * Records a completed answer.
     *
     * @param expectedTokens tokens that the answer was expected to have
     * @param millis time from its first to its last event
     */
    public void record(int expectedTokens, long millis) {
        if (expectedTokens > 0) {
            answers++;
            double weight = Math.max(MIN_WEIGHT, 1.0 / answers);
            millisPerToken += (millis / (double) expectedTokens - millisPerToken) * weight;
        }
    }

    /**
     * Records how long a request took in all: on busy engines it may wait much longer for its first event than the target.
     *
     * @param targetMillis target latency of the first event
     * @param maxTokens maximum number of tokens of the answer
     * @param millis time from the request's arrival to its last event
     */
    public void recordRequest(long targetMillis, int maxTokens, long millis) {
        double ratio = millis / (double) Math.max(1, expectedRequestMillis(targetMillis, maxTokens));
        overrun = Math.max(ratio, 1 + (overrun - 1) * OVERRUN_FADING);
    }

    /**
     * Estimates the duration of an answer.
     *
     * @param expectedTokens tokens that the answer is expected to have
     * @return milliseconds from its first to its last event
     */
    public long expectedMillis(int expectedTokens) {
        return (long) (expectedTokens * millisPerToken);
    }

    /**
     * Estimates how long a request takes from now to its last event.
     *
     * @param targetMillis target latency of the first event
     * @param expectedTokens tokens that the answer is expected to have
     * @return milliseconds
     */
    public long expectedRequestMillis(long targetMillis, int expectedTokens) {
        return expectedRestMillis(targetMillis, expectedTokens, 0);
    }

    /**
     * Estimates the time from now to the last event for a request that fares as badly as recent ones did.
     *
     * @param targetMillis target latency of the first event
     * @param maxTokens maximum number of tokens of the answer
     * @return milliseconds
     */
    public long longestRequestMillis(long targetMillis, int maxTokens) {
        return longestRestMillis(targetMillis, maxTokens, 0);
    }

    /**
     * Estimates how long the rest of an answer takes at another engine, which has to read what the first one has written.
     *
     * @param targetMillis target latency of the first event
     * @param expectedTokens tokens that the whole answer is expected to have
     * @param streamedMillis time for which the answer has been streamed
     * @return milliseconds
     */
    public long expectedRestMillis(long targetMillis, int expectedTokens, long streamedMillis) {
        return targetMillis + Math.max(0, expectedMillis(expectedTokens) - streamedMillis);
    }

    /**
     * Estimates the rest of an answer for a request that fares as badly as recent ones did.
     *
     * @param targetMillis target latency of the first event
     * @param maxTokens maximum number of tokens of the answer
     * @param streamedMillis time for which the answer has been streamed
     * @return milliseconds
     */
    public long longestRestMillis(long targetMillis, int maxTokens, long streamedMillis) {
        return (long) (overrun * expectedRestMillis(targetMillis, maxTokens, streamedMillis));
    }

    /**
     * Returns the latest time after which a refused caller can retry and still get its whole answer before its
     * deadline.
     *
     * @param remainingMillis time until the caller's deadline
     * @param waitMillis time that a retry may spend in the queue and until its first event
     * @param expectedTokens tokens that the answer is expected to have
     * @return milliseconds; 0 if only an immediate retry could succeed
     */
    public long latestRetryMillis(long remainingMillis, long waitMillis, int expectedTokens) {
        return Math.max(0, remainingMillis - waitMillis - expectedMillis(expectedTokens));
    }
}
