package org.guavathread.router.backend;

import java.io.IOException;

import org.guavathread.core.sheet.SocketAddressText;

/**
 * A backend server or a platform service sent a response that cannot be used. The request may have run.
 */
public final class BackendAnswerException extends IOException {

    private static final long serialVersionUID = 1L;

    private final String step;
    private final SocketAddressText peer;
    private final int status;

    /**
     * Reports an unusable response.
     *
     * @param step the operation, for example {@code "prefill"}
     * @param peer the peer that sent the response
     * @param status the HTTP status of the response
     * @param reason what is wrong, as a sentence without a full stop
     * @param cause the underlying failure, or null
     */
    public BackendAnswerException(String step, SocketAddressText peer, int status, String reason, Throwable cause) {
        super("Unusable response from " + peer + " to " + step + " (status " + status + "): " + reason + ".", cause);
        this.step = step;
        this.peer = peer;
        this.status = status;
    }

    /**
     * Returns the operation that failed.
     *
     * @return for example {@code "prefill"}
     */
    public String step() {
        return step;
    }

    /**
     * Returns the peer that sent the response.
     *
     * @return the address
     */
    public SocketAddressText peer() {
        return peer;
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return for example 500
     */
    public int status() {
        return status;
    }
}
