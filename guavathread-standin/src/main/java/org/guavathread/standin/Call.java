package org.guavathread.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.tinylog.Logger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A request to a stand-in. It is answered once, immediately or later, from any thread. */
final class Call {

    static final String REQUEST_ID = "Guavathread-Request-Id";
    static final ObjectMapper MAPPER = new ObjectMapper();

    private final String method;
    private final String path;
    private final String query;
    private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    private final byte[] body;
    private final Response response;
    private final Connection<?> connection;
    private final AtomicBoolean answered = new AtomicBoolean();
    private boolean dropResponse;
    private boolean stallResponse;

    Call(Request request, Response response) throws IOException {
        this.method = request.getMethod().getMethodString();
        this.path = request.getRequestURI();
        this.query = request.getQueryString() == null ? "" : request.getQueryString();
        for (String name : request.getHeaderNames()) {
            headers.put(name, String.join(",", request.getHeaders(name)));
        }
        // Grizzly waits for content if a request offers an upgrade to HTTP/2, even if the request has no body.
        boolean hasBody = request.getContentLengthLong() > 0 || headers.containsKey("Transfer-Encoding");
        this.body = hasBody ? request.getInputStream().readAllBytes() : new byte[0];
        this.response = response;
        this.connection = request.getContext().getConnection();
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    /** Returns the decoded remainder of the path after a prefix. */
    String pathAfter(String prefix) {
        return decoded(path.substring(prefix.length()));
    }

    /** Tells whether method and path are equal to the given ones, for example {@code "POST /engine/prefill"}. */
    boolean is(String methodAndPath) {
        return methodAndPath.equals(method + " " + path);
    }

    boolean startsWith(String methodAndPath) {
        return (method + " " + path).startsWith(methodAndPath);
    }

    String query(String name, String defaultValue) {
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return decoded(pair.substring(name.length() + 1));
            }
        }
        return defaultValue;
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    Map<String, String> headers() {
        return headers;
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    byte[] body() {
        return body;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    JsonNode json() throws IOException {
        return MAPPER.readTree(body.length == 0 ? "{}".getBytes(StandardCharsets.UTF_8) : body);
    }

    ReceivedLog.Received received() {
        return new ReceivedLog.Received(method, query.isEmpty() ? path : path + "?" + query, headers, text());
    }

    /** Makes the call close the connection in place of the response. */
    void dropResponse() {
        dropResponse = true;
    }

    /** Makes the call never respond and leaves the connection open. */
    void stallResponse() {
        stallResponse = true;
    }

    boolean isConnected() {
        return connection.isOpen();
    }

    /** Closes the connection without a response. */
    void drop() {
        answered.set(true);
        connection.closeSilently();
    }

    void answer(int status) {
        answer(status, "application/json", "{}".getBytes(StandardCharsets.UTF_8));
    }

    void answer(int status, JsonNode json) {
        answer(status, "application/json", json.toString().getBytes(StandardCharsets.UTF_8));
    }

    void answer(int status, String contentType, byte[] content, String... extraHeaders) {
        if (suppressed() || !answered.compareAndSet(false, true)) {
            return;
        }
        try {
            setHead(status, contentType, extraHeaders);
            if (status != 204) {
                response.setContentLength(content.length);
                response.getOutputStream().write(content);
            }
            response.resume();
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "Could not write the response to {} {}.", method, path);
        }
    }

    private boolean suppressed() {
        if (dropResponse) {
            drop();
        }
        return dropResponse || stallResponse;
    }

    private void setHead(int status, String contentType, String... extraHeaders) {
        response.setStatus(status);
        response.setContentType(contentType);
        if (headers.containsKey(REQUEST_ID)) {
            response.setHeader(REQUEST_ID, headers.get(REQUEST_ID));
        }
        for (int i = 0; i < extraHeaders.length; i += 2) {
            response.setHeader(extraHeaders[i], extraHeaders[i + 1]);
        }
    }

    /** Begins a chunked response; returns false if the response is suppressed or has already been sent. */
    boolean beginStream(String contentType) {
        if (suppressed() || !answered.compareAndSet(false, true)) {
            return false;
        }
        setHead(200, contentType);
        return true;
    }

    /** Writes the next chunk of the response; returns false if the connection is closed or the write fails. */
    boolean write(byte[] bytes) {
        if (!connection.isOpen()) {
            return false;
        }
        try {
            OutputStream out = response.getOutputStream();
            out.write(bytes);
            out.flush();
            return true;
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "Could not write to the response stream of {} {}.", method, path);
            return false;
        }
    }

    boolean event(JsonNode json) {
        return write(("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    void endStream() {
        try {
            response.resume();
        } catch (RuntimeException e) {
            Logger.debug(e, "Could not end the response stream of {} {}.", method, path);
        }
    }
}
