package org.guavathread.core.dispatch;

/**
 * Decides which requests a host still accepts while it stops: those that end before its process does. A request that
 * cannot be expected to end in time is refused as not run while its caller has time to go elsewhere.
 */
public final class DrainAdmission {

    /** Factor on the expected duration of an answer: batches fill up while hosts are replaced, and hints are vague. */
    private static final double DURATION_SAFETY_FACTOR = 2;

    /** Retry-After while another host serves callers: the refused caller only has to open a connection to it. */
    private static final long ELSEWHERE_RETRY_MILLIS = 50;

    /** Time from the end of a process until its successor serves callers. */
    private static final long RESTART_MILLIS = 2_000;

    private long endsAtMillis = Long.MAX_VALUE;
    private boolean refusesAll;

    /**
     * Begins the stop of the process.
     *
     * @param endMillis time at which the process ends at the latest
     */
    public void begin(long endMillis) {
        endsAtMillis = Math.min(endsAtMillis, endMillis);
    }

    /**
     * Returns when the process ends at the latest; an accepted request must have its answer by then.
     *
     * @return the time, or {@link Long#MAX_VALUE} while the process does not stop
     */
    public long endsAtMillis() {
        return endsAtMillis;
    }

    /** Refuses all further requests; called when the process is about to end. */
    public void refuseAll() {
        refusesAll = true;
    }

    /**
     * Tells whether a request may be accepted.
     *
     * @param nowMillis the current time
     * @param deadlineMillis time at which the request ends at the latest
     * @param expectedMillis expected time until its answer is complete; {@link Long#MAX_VALUE} if it is unknown
     * @return false if it could still be running when the process ends
     */
    public boolean accepts(long nowMillis, long deadlineMillis, long expectedMillis) {
        return !refusesAll && endsInTime(nowMillis, deadlineMillis, expectedMillis);
    }

    /**
     * Tells whether an accepted request may begin to run, or go on at another backend server although its own may still
     * answer.
     *
     * @param nowMillis the current time
     * @param deadlineMillis time at which the request ends at the latest
     * @param expectedMillis expected time until its answer is complete
     * @return false if it could still be running when the process ends
     */
    public boolean endsInTime(long nowMillis, long deadlineMillis, long expectedMillis) {
        return mayEndInTime(nowMillis, deadlineMillis, DURATION_SAFETY_FACTOR * expectedMillis);
    }

    /**
     * Tells whether a request whose backend server has broken off may go on at another one. Its caller is better off with a
     * risk than with half an answer, as long as the rest is expected to be complete in time.
     *
     * @param nowMillis the current time
     * @param deadlineMillis time at which the request ends at the latest
     * @param expectedMillis expected time until its answer is complete
     * @return false if it is expected to be running still when the process ends
     */
    public boolean mayGoOn(long nowMillis, long deadlineMillis, long expectedMillis) {
        return mayEndInTime(nowMillis, deadlineMillis, expectedMillis);
    }

    private boolean mayEndInTime(long nowMillis, long deadlineMillis, double millis) {
        return endsAtMillis == Long.MAX_VALUE || deadlineMillis <= endsAtMillis || nowMillis + millis <= endsAtMillis;
    }

    /**
     * Returns when a refused caller should come back.
     *
     * @param nowMillis the current time
     * @param othersServe whether another host serves callers
     * @param jitter a random number from 0 to 1
     * @return milliseconds: at once if another host serves, otherwise after the restart of this one
     */
    public long retryAfterMillis(long nowMillis, boolean othersServe, double jitter) {
        if (othersServe) {
            return (long) (ELSEWHERE_RETRY_MILLIS * (1 + jitter));
        }
        long untilEndMillis = Math.max(0, endsAtMillis - nowMillis);
        return untilEndMillis + (long) (RESTART_MILLIS * (1 + jitter));
    }
}
