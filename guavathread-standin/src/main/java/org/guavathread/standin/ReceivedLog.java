package org.guavathread.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Everything that a stand-in received, so that tests can check that no credential got through. Keeps a bounded number
 * of requests; texts that are watched are also found in requests that are no longer kept.
 */
public final class ReceivedLog {

    private static final int MAX_KEPT = 20_000;
    // Prompts of tens of thousands of tokens would otherwise take gigabytes.
    private static final long MAX_KEPT_CHARS = 32 * 1024 * 1024;

    private final Deque<Received> kept = new ArrayDeque<>();
    private final Map<String, Boolean> watched = new LinkedHashMap<>();
    private long total;
    private long keptChars;

    /**
     * A request as it arrived.
     *
     * @param method the HTTP method
     * @param target path and query
     * @param headers the headers, each with its values joined by a comma
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
     * Looks for a text in all requests from now on, even if they are too many to keep.
     *
     * @param text the text, for example an API key
     */
    public synchronized void watch(String text) {
        watched.putIfAbsent(text, kept.stream().anyMatch(request -> request.contains(text)));
    }

    /**
     * Tells whether a text stood in the target, a header or the body of any request.
     *
     * @param text the text
     * @return true if it did
     * @throws IllegalStateException if requests are no longer kept and the text was not watched
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
     * Gives the kept requests.
     *
     * @return the requests in the order of their arrival
     */
    public synchronized List<Received> all() {
        return new ArrayList<>(kept);
    }

    /**
     * Counts all requests, kept or not.
     *
     * @return the count
     */
    public synchronized long total() {
        return total;
    }
}
