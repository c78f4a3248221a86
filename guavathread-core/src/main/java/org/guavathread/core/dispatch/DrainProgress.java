package org.guavathread.core.dispatch;

/**
 * Decides how far the stop of a process has come. Requests that were admitted go on for as long as the process can wait for
 * them, whether or not the host seemed idle in between; answers that callers still read are waited for even longer.
 *
 * <pre>{@code
 * DrainProgress progress = new DrainProgress(now, now + graceMillis);
 * while (progress.step(clock.nowMillis(), unfinished()) != Step.ENDED) { ... }
 * }</pre>
 */
public final class DrainProgress {

    /** What a process does while it stops, in this order. */
    public enum Step {
        /** Requests that will end in time are admitted. */
        ADMITTING,
        /** All further requests are refused; those that were admitted go on. */
        REFUSING,
        /** Requests still in progress are answered as far as that is possible; what is written reaches its callers. */
        CUTTING,
        /** The process may end. */
        ENDED
    }

    /** Minimum time for which requests are admitted: callers cache entry answers, so new ones keep arriving. */
    private static final long MIN_ADMITTING_MILLIS = 2_500;

    /** Minimum time for which requests in transit are refused after the listening socket has closed. */
    private static final long MIN_REFUSING_MILLIS = 200;

    /** Time reserved between the end of the last request and the forced end of the process. */
    private static final long RUN_MARGIN_MILLIS = 900;

    /** Time reserved between the last byte of the last answer and the forced end of the process. */
    private static final long WRITE_MARGIN_MILLIS = 300;

    private final long admitsUntilMillis;
    private final long runsEndAtMillis;
    private final long endsAtMillis;
    private Step step = Step.ADMITTING;
    private long stepSinceMillis;

    /**
     * Creates the progress of a stop that begins.
     *
     * @param nowMillis the current time
     * @param forcedEndMillis time at which the process is killed
     */
    public DrainProgress(long nowMillis, long forcedEndMillis) {
        this.stepSinceMillis = nowMillis;
        this.admitsUntilMillis = nowMillis + MIN_ADMITTING_MILLIS;
        this.runsEndAtMillis = forcedEndMillis - RUN_MARGIN_MILLIS;
        this.endsAtMillis = forcedEndMillis - WRITE_MARGIN_MILLIS;
    }

    /**
     * Returns when requests in progress end at the latest.
     *
     * @return milliseconds since the epoch
     */
    public long runsEndAtMillis() {
        return runsEndAtMillis;
    }

    /**
     * Returns when the process ends at the latest.
     *
     * @return milliseconds since the epoch
     */
    public long endsAtMillis() {
        return endsAtMillis;
    }

    /**
     * Moves on by one step at most.
     *
     * @param nowMillis the current time
     * @param unfinished requests that are arriving, in progress, or answered and not written to their end
     * @return the step that the process is in now
     */
    public Step step(long nowMillis, int unfinished) {
        boolean isOver =
                switch (step) {
                    case ADMITTING -> nowMillis >= runsEndAtMillis || unfinished == 0 && nowMillis >= admitsUntilMillis;
                    case REFUSING -> nowMillis >= runsEndAtMillis || hasRefusedLongEnough(nowMillis, unfinished);
                    case CUTTING -> nowMillis >= endsAtMillis || hasRefusedLongEnough(nowMillis, unfinished);
                    case ENDED -> false;
                };
        if (isOver) {
            step = next(unfinished);
            stepSinceMillis = nowMillis;
        }
        return step;
    }

    private boolean hasRefusedLongEnough(long nowMillis, int unfinished) {
        return unfinished == 0 && nowMillis >= stepSinceMillis + MIN_REFUSING_MILLIS;
    }

    private Step next(int unfinished) {
        return switch (step) {
            case ADMITTING -> Step.REFUSING;
            case REFUSING -> unfinished == 0 ? Step.ENDED : Step.CUTTING;
            default -> Step.ENDED;
        };
    }
}
