package org.guavathread.core.time;

/** Source of the current time for shells. Decision classes never hold one; they get {@code nowMillis}. */
@FunctionalInterface
public interface Clock {

    /**
     * Reads the current time.
     *
     * @return milliseconds since the epoch; never goes back within one process
     */
    long nowMillis();
}
