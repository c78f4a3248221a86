package org.guavathread.router.http;

import java.io.IOException;

/** Signals bytes that are no message of HTTP/1.1 (RFC 9112). */
public final class MalformedMessageException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message one sentence that names the offending part and what was expected
     */
    public MalformedMessageException(String message) {
        super(message);
    }
}
