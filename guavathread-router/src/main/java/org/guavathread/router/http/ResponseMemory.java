package org.guavathread.router.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the memory of all responses that are being collected. When they need more, the largest one is ended: servers that
 * send without end must not take the memory of sound responses, which are small.
 *
 * @param <T> type of a response that is being collected
 */
final class ResponseMemory<T> {

    private final long maxBytes;
    private final Map<T, Long> sizes = new ConcurrentHashMap<>();
    private long totalBytes;

    /**
     * Creates an empty memory.
     *
     * @param maxBytes maximum size of all responses together, in bytes
     */
    ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds bytes of a response.
     *
     * @param response the response
     * @param bytes number of bytes that have arrived
     * @return the response to end now, if all together have become too large; it no longer counts
     */
    synchronized Optional<T> add(T response, int bytes) {
        sizes.merge(response, (long) bytes, Long::sum);
        totalBytes += bytes;
        if (totalBytes <= maxBytes) {
            return Optional.empty();
        }
        Optional<T> largest =
                sizes.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
        largest.ifPresent(this::remove);
        return largest;
    }

    /**
     * Removes a response that is complete or has failed.
     *
     * @param response the response; ignored if it does not count
     */
    synchronized void remove(T response) {
        Long bytes = sizes.remove(response);
        if (bytes != null) {
            totalBytes -= bytes;
        }
    }
}
