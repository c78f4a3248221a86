package org.guavathread.core.stream;

/**
 * Decides when a stream counts as stalled. Progress is a complete event with content: single bytes, comments and parts
 * of an event are none. The bound follows the pauses of this stream, so that an engine that has turned slow is not taken
 * for a stalled one.
 */
public final class StreamProgress {

    /** Stall bound of a stream that can be resumed, as a multiple of the route's longest pause. */
    private static final double STALL_PAUSES = 5;

    /** Stall bound as a multiple of the longest pause so far; preempted requests pause longer than slow ones. */
    private static final double STALL_LONGEST_PAUSES = 6;

    /** First-event bound of a stream that can be resumed, as a multiple of the expected time, plus a fixed slack. */
    private static final double FIRST_EVENT_FACTOR = 3;

    private static final long FIRST_EVENT_SLACK_MILLIS = 1_200;

    /** Callers wait for the next event for the longest of this time, some targets and some pauses. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    private static final long PATIENCE_TARGETS = 4;
    private static final long PATIENCE_PAUSES = 8;

    /** Fraction of the callers' patience after which a stream is resumed, so that its next event still finds them. */
    private static final double RESUME_PATIENCE_FRACTION = 0.75;

    /** Time beyond the callers' patience after which a stream that cannot be resumed is ended. */
    private static final long END_SLACK_MILLIS = 500;

    private final long maxPauseMillis;
    private final long patienceMillis;
    private final boolean resumable;
    private long lastEventAtMillis = Long.MAX_VALUE;
    private long longestPauseMillis;
    private long endsAtMillis = Long.MAX_VALUE;

    /**
     * Creates the progress of a stream that has not begun.
     *
     * @param targetMillis the route's target for the first event
     * @param maxPauseMillis the route's target for the longest pause
     * @param resumable whether another engine may continue the stream
     */
    public StreamProgress(long targetMillis, long maxPauseMillis, boolean resumable) {
        this.maxPauseMillis = maxPauseMillis;
        this.patienceMillis = Math.max(
                MIN_PATIENCE_MILLIS, Math.max(PATIENCE_TARGETS * targetMillis, PATIENCE_PAUSES * maxPauseMillis));
        this.resumable = resumable;
    }

    /**
     * Records that the stream was requested from an engine.
     *
     * @param nowMillis the current time
     * @param expectedMillis expected time until the first event
     * @return time at which the stream counts as stalled unless an event arrives
     */
    public long requested(long nowMillis, double expectedMillis) {
        // The pause until the first event of another engine says nothing about that engine's pace.
        lastEventAtMillis = Long.MAX_VALUE;
        endsAtMillis = nowMillis + patienceMillis + END_SLACK_MILLIS;
        if (!resumable) {
            return endsAtMillis;
        }
        return nowMillis + FIRST_EVENT_SLACK_MILLIS + (long) (FIRST_EVENT_FACTOR * expectedMillis);
    }

    /**
     * Records a complete event.
     *
     * @param nowMillis the current time
     * @return time at which the stream counts as stalled unless another event arrives
     */
    public long event(long nowMillis) {
        longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
        lastEventAtMillis = nowMillis;
        endsAtMillis = nowMillis + patienceMillis + END_SLACK_MILLIS;
        if (!resumable) {
            return endsAtMillis;
        }
        double boundMillis = Math.max(STALL_PAUSES * maxPauseMillis, STALL_LONGEST_PAUSES * longestPauseMillis);
        return nowMillis + (long) Math.min(RESUME_PATIENCE_FRACTION * patienceMillis, boundMillis);
    }

    /**
     * Returns when callers have stopped waiting for the next event. A stream that no other engine can continue goes on
     * until then, since its engine may only be silent for a while.
     *
     * @return the time at which the stream must end unless an event arrives
     */
    public long endsAtMillis() {
        return endsAtMillis;
    }
}
