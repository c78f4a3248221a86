package org.guavathread.router.backend;

/**
 * Receives a stream of tokens. Calls never overlap; exactly one of {@link #onDone} and {@link #onFailure} is the last
 * call. Implementations must not block.
 */
public interface TokenListener {

    /**
     * Receives the next token. Indices are consecutive.
     *
     * @param index position in the output, counted from 0
     * @param token its text
     */
    void onToken(int index, String token);

    /** Called when the output is complete. */
    void onDone();

    /**
     * Called when the stream failed; it may be resumed at the index after the last token.
     *
     * @param failure the failure, with step and peer
     */
    void onFailure(Throwable failure);
}
