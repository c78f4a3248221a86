package org.guavathread.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that a stand-in received, so that tests can check that no credential was forwarded. Keeps a bounded
 * number of requests; watched texts are also found in requests that have been evicted.
 */
public final class ReceivedLog {

    private static final int MAX_KEPT = 20_000;
    // Without this bound, prompts of tens of thousands of tokens take gigabytes.
    private static final long MAX_KEPT_CHARS = 32 * 1024 * 1024;

    private final Deque<Received> kept = new ArrayDeque<>();
    private final Map<String, Boolean> watched = new LinkedHashMap<>();
    private long total;
    private long keptChars;

    /**
     * A received request.
     *
     * @param method the HTTP method
     * @param target path and query
     * @param headers the headers; multiple values of one header are joined by commas
     * @param body the body as UTF-8 text
     */
    public record Received(String method, String target, Map<String, String> headers, String body) {

        int chars() {
            return target.length()
                    + body.length()
                    + headers.values().stream().mapToInt(String::length).sum();
        }

        boolean contains(String text) {
            return target.contains(text)
                    || body.contains(text)
                    || headers.entrySet().stream()
                            .anyMatch(header -> header.getKey().contains(text)
                                    || header.getValue().contains(text));
        }
    }

    synchronized void add(Received request) {
        total++;
        watched.replaceAll((text, seen) -> seen || request.contains(text));
        kept.addLast(request);
        keptChars += request.chars();
        while (kept.size() > MAX_KEPT || keptChars > MAX_KEPT_CHARS) {
            keptChars -= kept.removeFirst().chars();
        }
    }

    /**
     * Watches for a text in all requests from now on, including those that are evicted later.
     *
     * @param text the text, for example an API key
     */
    public synchronized void watch(String text) {
        watched.putIfAbsent(text, kept.stream().anyMatch(request -> request.contains(text)));
    }

    /**
     * Tells whether the target, a header or the body of any request contained a text.
     *
     * @param text the text
     * @return true if it did
     * @throws IllegalStateException if requests have been evicted and the text was not watched
     */
    public synchronized boolean everContained(String text) {
        if (watched.containsKey(text)) {
            return watched.get(text);
        }
        if (total > kept.size()) {
            throw new IllegalStateException("Only " + kept.size() + " of " + total
                    + " requests are kept; watch the text before the first request.");
        }
        return kept.stream().anyMatch(request -> request.contains(text));
    }

    /**
     * Returns the kept requests.
     *
     * @return the requests in the order of their arrival
     */
    public synchronized List<Received> all() {
        return new ArrayList<>(kept);
    }

    /**
     * Counts all requests, including evicted ones.
     *
     * @return the count
     */
    public synchronized long total() {
        return total;
    }
}
