package org.guavathread.router.backend;

import java.io.IOException;

import org.guavathread.core.sheet.SocketAddressText;

/**
 * A backend server or a part of the platform answered, but not with what was asked for. The request may have run.
 */
public final class BackendAnswerException extends IOException {

    private static final long serialVersionUID = 1L;

    private final String step;
    private final SocketAddressText peer;
    private final int status;

    /**
     * Reports an unusable answer.
     *
     * @param step the operation, for example {@code "prefill"}
     * @param peer the peer that answered
     * @param status the HTTP status of the answer
     * @param reason what is wrong, as a sentence without a full stop
     * @param cause the underlying failure, or null
     */
    public BackendAnswerException(String step, SocketAddressText peer, int status, String reason, Throwable cause) {
        super(
                "The answer of " + peer + " to " + step + " (status " + status + ") cannot be used: " + reason + ".",
                cause);
        this.step = step;
        this.peer = peer;
        this.status = status;
    }

    /**
     * Tells which operation failed.
     *
     * @return for example {@code "prefill"}
     */
    public String step() {
        return step;
    }

    /**
     * Tells which peer answered.
     *
     * @return the address
     */
    public SocketAddressText peer() {
        return peer;
    }

    /**
     * Gives the HTTP status of the answer.
     *
     * @return for example 500
     */
    public int status() {
        return status;
    }
}
