package org.guavathread.core.drain;

/**
 * Follows the graceful shutdown of a host: it first tells callers and peers, then refuses new work, then waits for the
 * running requests.
 *
 * <pre>{@code
 * drain.begin(true, 60_000, now);
 * switch (drain.onTick(runningRequests, now)) { ... }
 * }</pre>
 */
public final class DrainState {

    /** Callers use an answer of {@code GET /v1/entry} for 5 s; the rest covers a request that is on its way. */
    public static final long ANNOUNCE_MILLIS = 6_000;

    /** Time for cancelled requests to be answered and for their engine requests to be released. */
    static final long CANCEL_GRACE_MILLIS = 2_000;

    private enum Phase {
        SERVING,
        ANNOUNCING,
        REFUSING,
        CANCELLING,
        ENDED
    }

    private Phase phase = Phase.SERVING;
    private long refuseAtMillis;
    private long drainDeadlineMillis;
    private long exitAtMillis;

    /**
     * Starts the shutdown. Further calls change nothing, so that a second signal does not extend the deadline.
     *
     * @param anyoneToInform whether a caller is connected or a peer is alive that could still send work
     * @param drainMillis time that running requests have from now, in milliseconds
     * @param nowMillis the current time
     */
    public void begin(boolean anyoneToInform, long drainMillis, long nowMillis) {
        if (phase != Phase.SERVING) {
            return;
        }
        phase = Phase.ANNOUNCING;
        drainDeadlineMillis = nowMillis + drainMillis;
        refuseAtMillis = anyoneToInform ? Math.min(nowMillis + ANNOUNCE_MILLIS, drainDeadlineMillis) : nowMillis;
    }

    /**
     * Tells whether heartbeats and {@code /v1/entry} report that this host is draining.
     *
     * @return true from the start of the shutdown
     */
    public boolean isDraining() {
        return phase != Phase.SERVING;
    }

    /**
     * Tells whether new work is taken. Votes on claims go on regardless.
     *
     * @param nowMillis the current time
     * @return false once new work must be refused, also if no tick has come since
     */
    public boolean takesWork(long nowMillis) {
        return phase == Phase.SERVING || phase == Phase.ANNOUNCING && nowMillis < refuseAtMillis;
    }

    /**
     * Gives the next step. To be called several times a second; each step is given once.
     *
     * @param runningRequests requests that were accepted and not yet answered in full
     * @param nowMillis the current time
     * @return the step
     */
    public DrainStep onTick(int runningRequests, long nowMillis) {
        switch (phase) {
            case ANNOUNCING:
                if (nowMillis < refuseAtMillis) {
                    return DrainStep.NONE;
                }
                phase = Phase.REFUSING;
                return DrainStep.REFUSE_NEW_WORK;
            case REFUSING:
                if (runningRequests == 0) {
                    phase = Phase.ENDED;
                    return DrainStep.EXIT;
                }
                if (nowMillis < drainDeadlineMillis) {
                    return DrainStep.NONE;
                }
                phase = Phase.CANCELLING;
                exitAtMillis = nowMillis + CANCEL_GRACE_MILLIS;
                return DrainStep.CANCEL_RUNNING;
            case CANCELLING:
                if (runningRequests > 0 && nowMillis < exitAtMillis) {
                    return DrainStep.NONE;
                }
                phase = Phase.ENDED;
                return DrainStep.EXIT;
            default:
                return DrainStep.NONE;
        }
    }
}
