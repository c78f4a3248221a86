package org.guavathread.router.supervisor;

/** A component of the daemon that a supervisor starts and stops. */
public interface Supervised {

    /**
     * Returns the name of the component in logs and in the status.
     *
     * @return for example {@code "claims"}
     */
    String name();

    /** Starts the component. */
    void start();

    /** Stops the component and waits for its threads, for a bounded time. */
    void stop();
}
