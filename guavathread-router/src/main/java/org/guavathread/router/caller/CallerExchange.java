package org.guavathread.router.caller;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.Refusal;

/**
 * One request of a caller and the means to respond to it. Only the first response is sent, so that a request is never
 * answered twice; later ones are ignored.
 */
public interface CallerExchange {

    /**
     * Returns the id of the request in logs, in the audit trail and in {@code explain}.
     *
     * @return the id; also sent to the caller in the header {@code Guavathread-Request-Id}
     */
    RequestId id();

    /**
     * Returns the arrival time of the request. A request that may have waited in the socket while the process was
     * paused counts as having arrived at the start of the pause.
     *
     * @return milliseconds since the epoch
     */
    long arrivedAtMillis();

    String method();

    String path();

    /**
     * Returns the query with its leading question mark.
     *
     * @return for example {@code "?lane=3"}, or an empty string
     */
    String query();

    /**
     * Looks up a header.
     *
     * @param name its case-insensitive name
     * @return its value
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return values by case-insensitive name; several values of one name are joined by commas
     */
    Map<String, String> headers();

    byte[] body();

    /**
     * Registers an action for the case that the caller's connection closes before the response is complete.
     *
     * @param action runs once, on a network thread; immediately if the connection is already closed
     */
    void onDisconnect(Runnable action);

    /**
     * Tells whether a response was started or the caller has disconnected.
     *
     * @return true if a further response would be ignored
     */
    boolean isFinished();

    /**
     * Responds with a refusal as JSON.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /**
     * Responds with a complete body.
     *
     * @param status the HTTP status
     * @param headers the headers, including the content type
     * @param body the body
     */
    void answer(int status, Map<String, String> headers, byte[] body);

    /**
     * Starts a streamed response with status 200.
     *
     * @param contentType the content type
     * @return the open body, or empty if a response was already started or the caller has disconnected
     */
    default Optional<StreamBody> openStream(String contentType) {
        return openStream(200, Map.of("Content-Type", contentType, "Cache-Control", "no-store"));
    }

    /**
     * Starts a streamed response. With the header {@code Content-Length} the body is sent unchunked, without it in
     * chunks; with {@code Connection: close} the connection is closed after the response.
     *
     * @param status the HTTP status
     * @param headers all headers of the response
     * @return the open body, or empty if a response was already started or the caller has disconnected
     */
    Optional<StreamBody> openStream(int status, Map<String, String> headers);

    /**
     * Responds with a complete body without blocking, unlike {@link #answer}, which waits for a caller that reads slowly.
     *
     * @param status the HTTP status
     * @param headers the headers, except the content length
     * @param body the body
     */
    default void answerAsync(int status, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new TreeMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        openStream(status, all).ifPresent(out -> {
            if (body.length > 0) {
                out.write(body);
            }
            out.finish();
        });
    }

    /** The body of a streamed response. */
    interface StreamBody {

        /**
         * Writes the next part of the body.
         *
         * @param part the bytes
         * @return false if the caller has disconnected or has read nothing for too long; the stream has then ended
         */
        boolean write(byte[] part);

        /** Ends the body. */
        void finish();

        /** Closes the connection, so that the caller sees that the body is incomplete. */
        void abort();
    }
}
