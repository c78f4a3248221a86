package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A request with its limits.
 *
 * <pre>{@code
 * HttpRequest request = HttpRequest.post("/engine/reserve")
 *         .json("{\"pieces\":3}")
 *         .deadlineMillis(clock.nowMillis() + 2_000)
 *         .build();
 * }</pre>
 */
public final class HttpRequest {

    private static final Set<String> RESERVED_HEADERS =
            Set.of("host", "content-length", "transfer-encoding", "connection", "expect", "upgrade");

    private final Builder values;
    private final Map<String, String> headers;

    private HttpRequest(Builder values) {
        this.values = values;
        this.headers = Collections.unmodifiableMap(values.headers);
    }

    /**
     * Starts a GET request.
     *
     * @param path the path with the query, for example {@code "/hosts?all=1"}
     * @return a builder
     */
    public static Builder get(String path) {
        return new Builder("GET", path);
    }

    /**
     * Starts a POST request.
     *
     * @param path the path with the query
     * @return a builder
     */
    public static Builder post(String path) {
        return new Builder("POST", path);
    }

    /**
     * Starts a DELETE request.
     *
     * @param path the path with the query
     * @return a builder
     */
    public static Builder delete(String path) {
        return new Builder("DELETE", path);
    }

    /**
     * Starts a request with any method but HEAD and CONNECT.
     *
     * @param method the method in upper case
     * @param path the path with the query
     * @return a builder
     * @throws IllegalArgumentException if the method or the path cannot be sent
     */
    public static Builder of(String method, String path) {
        return new Builder(method, path);
    }

    /**
     * Tells whether the client sets a header itself, so that a request cannot contain it.
     *
     * @param header name of the header, in any case
     * @return true for headers that concern the connection or the framing
     */
    public static boolean isReserved(String header) {
        return RESERVED_HEADERS.contains(header.toLowerCase(Locale.ROOT));
    }

    /**
     * Starts a copy of this request for another peer.
     *
     * @param defaultHost value of the Host header if this request names none
     * @return a builder with all values of this request
     */
    public Builder toBuilder(String defaultHost) {
        Builder copy = new Builder(values.method, values.path);
        copy.headers.putAll(values.headers);
        copy.body = values.body;
        copy.deadlineMillis = values.deadlineMillis;
        copy.sendDeadlineMillis = values.sendDeadlineMillis;
        copy.inactivityTimeoutMillis = values.inactivityTimeoutMillis;
        copy.maxResponseBytes = values.maxResponseBytes;
        copy.repeatable = values.repeatable;
        copy.virtualHost = values.virtualHost == null ? defaultHost : values.virtualHost;
        copy.closeDelimitedResponseAccepted = values.closeDelimitedResponseAccepted;
        return copy;
    }

    /**
     * Returns the time until the deadline.
     *
     * @param nowMillis the current time
     * @return milliseconds; {@link Long#MAX_VALUE} if there is no deadline
     */
    public long remainingMillis(long nowMillis) {
        return values.deadlineMillis == Long.MAX_VALUE ? Long.MAX_VALUE : values.deadlineMillis - nowMillis;
    }

    String method() {
        return values.method;
    }

    String path() {
        return values.path;
    }

    Map<String, String> headers() {
        return headers;
    }

    byte[] body() {
        return values.body;
    }

    long deadlineMillis() {
        return values.deadlineMillis;
    }

    long sendDeadlineMillis() {
        return values.sendDeadlineMillis;
    }

    long inactivityTimeoutMillis() {
        return values.inactivityTimeoutMillis;
    }

    long maxResponseBytes() {
        return values.maxResponseBytes;
    }

    boolean isRepeatable() {
        return values.repeatable;
    }

    /** Returns the value of the Host header, or null to use the address of the peer. */
    String virtualHost() {
        return values.virtualHost;
    }

    /** Tells whether an orderly close of the connection may delimit the body. */
    boolean acceptsCloseDelimitedResponse() {
        return values.closeDelimitedResponseAccepted;
    }

    @Override
    public String toString() {
        return values.method + " " + values.path;
    }

    /** Builds a request. */
    public static final class Builder {

        private final String method;
        private final String path;
        private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        private byte[] body = new byte[0];
        private long deadlineMillis = Long.MAX_VALUE;
        private long sendDeadlineMillis = Long.MAX_VALUE;
        private long inactivityTimeoutMillis = Long.MAX_VALUE;
        private long maxResponseBytes = 1024 * 1024;
        private boolean repeatable = true;
        private String virtualHost;
        private boolean closeDelimitedResponseAccepted;

        private Builder(String method, String path) {
            if (method == null || !method.matches("[A-Z]+") || "HEAD".equals(method) || "CONNECT".equals(method)) {
                throw new IllegalArgumentException(
                        "\"" + method + "\" cannot be sent; use an upper-case method other than HEAD and CONNECT.");
            }
            if (path == null || !path.matches("/[\\x21-\\x7e]*")) {
                throw new IllegalArgumentException("\"" + path
                        + "\" is not a request path; it must start with / and hold printable ASCII without spaces.");
            }
            this.method = method;
            this.path = path;
        }

        /**
         * Sets a header; an earlier value is replaced.
         *
         * @param name the name; the client sets the framing headers itself
         * @param value the value, without line breaks
         * @return this builder
         * @throws IllegalArgumentException if the header is set by the client or would break the message
         */
        public Builder header(String name, String value) {
            if (!name.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]+") || isReserved(name)) {
                throw new IllegalArgumentException(
                        "The header \"" + name + "\" cannot be set; use another name than " + RESERVED_HEADERS + ".");
            }
            // Headers are written as one byte per character: a wider character would turn into another one, possibly
            // a line break.
            if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127 || c > 255)) {
                throw new IllegalArgumentException("The value of header " + name
                        + " holds a control character or one outside of ISO 8859-1; remove it.");
            }
            headers.put(name, value);
            return this;
        }

        /**
         * Sets the body.
         *
         * @param bytes the bytes; not copied
         * @return this builder
         */
        public Builder body(byte[] bytes) {
            this.body = bytes;
            return this;
        }

        /**
         * Sets a JSON body and its content type.
         *
         * @param text the JSON text
         * @return this builder
         */
        public Builder json(String text) {
            return header("Content-Type", "application/json").body(text.getBytes(StandardCharsets.UTF_8));
        }

        /**
         * Sets the time by which the whole response must have arrived; the default is none.
         *
         * @param atMillis milliseconds since the epoch
         * @return this builder
         */
        public Builder deadlineMillis(long atMillis) {
            this.deadlineMillis = atMillis;
            return this;
        }

        /**
         * Sets the time after which the request is no longer sent. It is compared with the clock immediately before
         * the first byte is written. The default is none.
         *
         * @param atMillis milliseconds since the epoch
         * @return this builder
         */
        public Builder sendDeadlineMillis(long atMillis) {
            this.sendDeadlineMillis = atMillis;
            return this;
        }

        /**
         * Sets the inactivity timeout, counted from the start of sending and from each received part of the response.
         * The exchange fails and its connection is closed when nothing arrives for longer. The default is no limit.
         *
         * @param millis milliseconds
         * @return this builder
         */
        public Builder inactivityTimeoutMillis(long millis) {
            this.inactivityTimeoutMillis = millis;
            return this;
        }

        /**
         * Sets the maximum size of the response body; the default is 1 MiB.
         *
         * @param bytes bytes
         * @return this builder
         */
        public Builder maxResponseBytes(long bytes) {
            this.maxResponseBytes = bytes;
            return this;
        }

        /**
         * Marks a request that must not run twice: it is sent only over a connection that is new or was used recently
         * ({@link HttpClientSettings#nonRepeatableIdleMillis}).
         *
         * @return this builder
         */
        public Builder nonRepeatable() {
            this.repeatable = false;
            return this;
        }

        /**
         * Sets the Host header; the default is the address of the peer.
         *
         * @param name value of the Host header
         * @return this builder
         */
        public Builder virtualHost(String name) {
            this.virtualHost = name;
            return this;
        }

        /**
         * Accepts a response without Content-Length or chunked encoding as complete when the peer closes the connection
         * in an orderly way; a reset still fails the exchange.
         *
         * @return this builder
         */
        public Builder acceptCloseDelimitedResponse() {
            this.closeDelimitedResponseAccepted = true;
            return this;
        }

        /**
         * Builds the request. The builder must not be used afterwards.
         *
         * @return the request
         */
        public HttpRequest build() {
            return new HttpRequest(this);
        }
    }
}
