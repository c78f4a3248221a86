package org.guavathread.core.drain;

/**
 * State machine of the graceful shutdown of a host: it first announces the shutdown to callers and peers, then refuses
 * new work, then waits for the running requests and cancels those that exceed the deadline.
 *
 * <pre>{@code
 * drain.begin(true, 60_000, now);
 * switch (drain.onTick(runningRequests, now)) { ... }
 * }</pre>
 */
public final class DrainState {

    /** Callers cache an answer of {@code GET /v1/entry} for 5 s; the remaining second covers requests in transit. */
    public static final long ANNOUNCE_MILLIS = 6_000;

    /** Grace period in which cancelled requests are answered and their engine requests released. */
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
     * Starts the shutdown. Further calls have no effect, so that a second signal does not extend the deadline.
     *
     * @param hasCallersOrPeers whether a caller is connected or a peer is alive that could still send work
     * @param drainMillis time limit for running requests from now on, in milliseconds
     * @param nowMillis the current time
     */
    public void begin(boolean hasCallersOrPeers, long drainMillis, long nowMillis) {
        if (phase != Phase.SERVING) {
            return;
        }
        phase = Phase.ANNOUNCING;
        drainDeadlineMillis = nowMillis + drainMillis;
        refuseAtMillis = hasCallersOrPeers ? Math.min(nowMillis + ANNOUNCE_MILLIS, drainDeadlineMillis) : nowMillis;
    }

    /**
     * Returns whether heartbeats and {@code /v1/entry} report that this host is draining.
     *
     * @return true from the start of the shutdown
     */
    public boolean isDraining() {
        return phase != Phase.SERVING;
    }

    /**
     * Returns whether new work is accepted. Votes on claims continue regardless.
     *
     * @param nowMillis the current time
     * @return false once new work must be refused, even if {@link #onTick} was not called since
     */
    public boolean acceptsWork(long nowMillis) {
        return phase == Phase.SERVING || phase == Phase.ANNOUNCING && nowMillis < refuseAtMillis;
    }

    /**
     * Returns the next step. Must be called several times a second; each step is returned once.
     *
     * @param runningRequests requests that were accepted and not yet answered completely
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
