package org.guavathread.core.dispatch;

/**
 * Decides whether a request that has waited for this host's attention is still accepted. While requests have to wait without
 * a break, newcomers that have used up a part of their time are refused, so that the others can be served in theirs: a queue
 * that is worked off in order would let all of them wait until it is too late. Not thread-safe.
 *
 * <pre>{@code
 * boolean accepted = delay.accepts(arrivedAtMillis, deadlineMillis, nowMillis);
 * }</pre>
 */
public final class QueueDelay {

    /** A request that waited for less than this has met no queue. */
    private static final long SHORT_WAIT_MILLIS = 100;

    /** A queue that has lasted for longer than this does not come from a burst or a short stall. */
    private static final long STANDING_MILLIS = 500;

    /** Part of its time that a request may have waited while there is a standing queue. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** When the first request of those that all had to wait was decided on. */
    private long standingSinceMillis = Long.MAX_VALUE;

    private long lastDecisionMillis;

    /**
     * Records how long a request waited and decides on it.
     *
     * @param arrivedAtMillis when the request arrived, in milliseconds since the epoch
     * @param deadlineMillis when its caller stops waiting
     * @param nowMillis the current time
     * @return false if the request is to be refused as not run
     */
    public boolean accepts(long arrivedAtMillis, long deadlineMillis, long nowMillis) {
        return accepts(arrivedAtMillis, Long.MAX_VALUE, deadlineMillis, nowMillis);
    }

    /**
     * Records how long a request waited and decides on it. After a loss of hosts, the others come back to the backlog of all:
     * then a request that can no longer be on time makes way for newcomers that can.
     *
     * @param arrivedAtMillis when the request arrived, in milliseconds since the epoch
     * @param onTimeUntilMillis until when it has to be looked at to be answered on time
     * @param deadlineMillis when its caller stops waiting
     * @param nowMillis the current time
     * @return false if the request is to be refused as not run
     */
    public boolean accepts(long arrivedAtMillis, long onTimeUntilMillis, long deadlineMillis, long nowMillis) {
        long waitedMillis = nowMillis - arrivedAtMillis;
        boolean isFirst = standingSinceMillis == Long.MAX_VALUE || nowMillis - lastDecisionMillis > STANDING_MILLIS;
        if (waitedMillis < SHORT_WAIT_MILLIS) {
            standingSinceMillis = Long.MAX_VALUE;
        } else if (isFirst) {
            standingSinceMillis = nowMillis;
        }
        lastDecisionMillis = nowMillis;
        boolean isStanding = nowMillis - STANDING_MILLIS > standingSinceMillis;
        double allowedMillis = (deadlineMillis - arrivedAtMillis) * (isStanding ? MAX_WAIT_SHARE : 1);
        return waitedMillis < allowedMillis && !(isStanding && nowMillis > onTimeUntilMillis);
    }
}
