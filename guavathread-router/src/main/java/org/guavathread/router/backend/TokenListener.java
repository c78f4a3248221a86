package org.guavathread.router.backend;

/**
 * Receives a stream of tokens. Calls never overlap; exactly one of {@link #onDone} and {@link #onFailure} is the last.
 * The calls must not block.
 */
public interface TokenListener {

    /**
     * Receives the next token. The indices have no gaps and no repetitions.
     *
     * @param index position in the output, counted from 0
     * @param token its text
     */
    void onToken(int index, String token);

    /** Tells that the output is complete. */
    void onDone();

    /**
     * Tells that the stream broke; it may be resumed at the index after the last token.
     *
     * @param failure what happened, with step and peer
     */
    void onFailure(Throwable failure);
}
