package org.guavathread.router;

import org.guavathread.core.time.Clock;

/** Clocks of the daemon. */
public final class Clocks {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private Clocks() {}

    /**
     * Gives a clock that starts at the wall-clock time and then advances with elapsed time, so that a step of the wall
     * clock neither moves deadlines nor refills budgets. On Linux it does not advance while the machine is suspended.
     *
     * @return the clock
     */
    public static Clock monotonic() {
        long wallMillis = System.currentTimeMillis();
        long startNanos = System.nanoTime();
        return () -> wallMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
