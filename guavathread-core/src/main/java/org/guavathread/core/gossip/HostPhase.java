package org.guavathread.core.gossip;

import org.guavathread.core.message.UnknownConstant;

/** Lifecycle phase of a host, which decides whether it accepts callers. */
public enum HostPhase {
    /** Has not loaded a configuration yet. */
    @UnknownConstant
    STARTING(false),
    /** Serves callers. */
    READY(true),
    /** Completes the running requests and then shuts down. */
    LEAVING(false);

    private final boolean takesCallers;

    HostPhase(boolean takesCallers) {
        this.takesCallers = takesCallers;
    }

    /**
     * Tells whether callers should be sent to the host.
     *
     * @return true if it accepts new callers
     */
    public boolean takesCallers() {
        return takesCallers;
    }
}
