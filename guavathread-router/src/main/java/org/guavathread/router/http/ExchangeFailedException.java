package org.guavathread.router.http;

import org.guavathread.core.sheet.SocketAddressText;

/** The exchange failed after a byte of the request may have reached the peer, so the request may have run. */
public final class ExchangeFailedException extends HttpExchangeException {

    private static final long serialVersionUID = 1L;

    /**
     * Reports a failed exchange.
     *
     * @param step the step that did not finish
     * @param peer the peer that the request was sent to
     * @param reason what happened, as a sentence without a full stop
     * @param cause the underlying failure, or null
     */
    public ExchangeFailedException(HttpStep step, SocketAddressText peer, String reason, Throwable cause) {
        super(
                step,
                peer,
                "The exchange with " + peer + " failed, the request may have run (step " + step + "): " + reason + ".",
                cause);
    }
}
