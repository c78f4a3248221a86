package org.guavathread.router.peer;

import org.guavathread.core.id.HostId;

/** A request to another host got no reply. */
public class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient HostId peer;
    private final String step;

    /**
     * Builds the exception.
     *
     * @param step the operation that failed, for example {@code "connect"}
     * @param peer the other host
     * @param reason what went wrong and what to do
     */
    public PeerException(String step, HostId peer, String reason) {
        super("Step \"" + step + "\" with host " + peer + " failed: " + reason);
        this.peer = peer;
        this.step = step;
    }

    public HostId peer() {
        return peer;
    }

    public String step() {
        return step;
    }
}
