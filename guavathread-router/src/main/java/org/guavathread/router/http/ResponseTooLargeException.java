package org.guavathread.router.http;

import org.guavathread.core.sheet.SocketAddressText;

/** A response was ended because it is the largest of those that are being collected and they need too much memory. */
public final class ResponseTooLargeException extends HttpExchangeException {

    private static final long serialVersionUID = 1L;

    /**
     * Reports an ended response.
     *
     * @param peer the peer that sent it
     * @param maxBytes bound on all responses together, in bytes
     */
    public ResponseTooLargeException(SocketAddressText peer, long maxBytes) {
        super(
                HttpStep.ANSWER_BODY,
                peer,
                "The response of " + peer + " was ended: it is the largest of several that exceed " + maxBytes
                        + " bytes together; the request may have run.",
                null);
    }
}
