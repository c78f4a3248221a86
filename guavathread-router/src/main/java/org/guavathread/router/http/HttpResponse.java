package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param head status and headers
 * @param body the body; not copied, so it must not be changed
 */
public record HttpResponse(HttpHead head, byte[] body) {

    /**
     * Returns the HTTP status.
     *
     * @return for example 200
     */
    public int status() {
        return head.status();
    }

    /**
     * Decodes the body.
     *
     * @return the body as UTF-8 text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
