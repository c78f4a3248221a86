package org.guavathread.router.http;

import org.guavathread.core.sheet.SocketAddressText;

/**
 * The operating system accepted no byte of the request, so the request has not run and will not run.
 *
 * <p>See {@link HttpClient} for the exact guarantee.
 */
public final class RequestNotSentException extends HttpExchangeException {

    private static final long serialVersionUID = 1L;

    /**
     * Reports a request that was not sent.
     *
     * @param step the step that did not finish
     * @param peer the peer the request was meant for
     * @param reason what happened, as a sentence without a full stop
     * @param cause the underlying failure, or null
     */
    public RequestNotSentException(HttpStep step, SocketAddressText peer, String reason, Throwable cause) {
        super(step, peer, "The request to " + peer + " was not sent (step " + step + "): " + reason + ".", cause);
    }
}
