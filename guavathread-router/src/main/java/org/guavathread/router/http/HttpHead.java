package org.guavathread.router.http;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Status and headers of a response.
 *
 * @param status the HTTP status, for example 200
 * @param headers the headers; names are case-insensitive
 */
public record HttpHead(int status, Map<String, List<String>> headers) {

    /** Copies the headers. */
    public HttpHead {
        Map<String, List<String>> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> copy.put(name, List.copyOf(values)));
        headers = Collections.unmodifiableMap(copy);
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the header, in any case
     * @return its first value, or empty if the response has no such header
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name)).map(values -> values.get(0));
    }

    /**
     * Tells whether the status is in the 2xx range.
     *
     * @return true for 200 to 299
     */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
