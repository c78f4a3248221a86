package org.guavathread.router.http;

import java.io.IOException;

import org.guavathread.core.sheet.SocketAddressText;

/** An exchange that brought no whole answer. The subclasses tell whether the request can have run. */
public abstract class HttpExchangeException extends IOException {

    private final HttpStep step;
    private final SocketAddressText peer;

    HttpExchangeException(HttpStep step, SocketAddressText peer, String message, Throwable cause) {
        super(message, cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Tells how far the exchange had come.
     *
     * @return the step that did not finish
     */
    public HttpStep step() {
        return step;
    }

    /**
     * Tells which peer the request was meant for.
     *
     * @return the address
     */
    public SocketAddressText peer() {
        return peer;
    }
}
