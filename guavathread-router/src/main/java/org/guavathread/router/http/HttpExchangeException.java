package org.guavathread.router.http;

import java.io.IOException;

import org.guavathread.core.sheet.SocketAddressText;

/** An exchange failed before its response was complete. The subclasses tell whether the request can have run. */
public abstract class HttpExchangeException extends IOException {

    private final HttpStep step;
    private final SocketAddressText peer;

    HttpExchangeException(HttpStep step, SocketAddressText peer, String message, Throwable cause) {
        super(message, cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Returns the step at which the exchange failed.
     *
     * @return the step that did not finish
     */
    public HttpStep step() {
        return step;
    }

    /**
     * Returns the peer that the request was addressed to.
     *
     * @return the address
     */
    public SocketAddressText peer() {
        return peer;
    }
}
