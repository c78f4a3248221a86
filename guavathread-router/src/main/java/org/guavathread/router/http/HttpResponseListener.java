package org.guavathread.router.http;

/**
 * Receives an HTTP response as a stream.
 *
 * <p>Calls never overlap and follow the order of the stream. Exactly one of {@link #onDone} and {@link #onFailure} is
 * the last call. The calls run on threads of the client, or on the calling thread if the exchange ends at once, and must
 * not block.
 */
public interface HttpResponseListener {

    /**
     * Receives status and headers, before any chunk.
     *
     * @param head status and headers
     */
    void onHead(HttpHead head);

    /**
     * Receives the next part of the body.
     *
     * @param bytes one or more bytes; the boundaries between calls have no meaning
     */
    void onBytes(byte[] bytes);

    /** Called when the body is complete. */
    void onDone();

    /**
     * Called when the exchange failed; no further calls follow.
     *
     * @param failure {@link RequestNotSentException} or {@link ExchangeFailedException}
     */
    void onFailure(HttpExchangeException failure);
}
