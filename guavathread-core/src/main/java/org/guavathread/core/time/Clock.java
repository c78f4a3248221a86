package org.guavathread.core.time;

/** Source of the current time for the I/O code. Decision logic holds no clock; it gets {@code nowMillis} instead. */
@FunctionalInterface
public interface Clock {

    /**
     * Reads the current time.
     *
     * @return milliseconds since the epoch; never decreases within one process
     */
    long nowMillis();
}
