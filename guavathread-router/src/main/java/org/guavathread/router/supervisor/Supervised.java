package org.guavathread.router.supervisor;

/** A part of the daemon that a supervisor starts and stops. */
public interface Supervised {

    /**
     * Gives the name under which the part appears in logs and in the status.
     *
     * @return for example {@code "claims"}
     */
    String name();

    /** Starts the part. */
    void start();

    /** Stops the part and waits for its threads, for a bounded time. */
    void stop();
}
