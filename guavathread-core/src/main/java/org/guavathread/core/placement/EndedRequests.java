package org.guavathread.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.id.RequestId;

/** Requests whose reservation ended recently. Prevents a delayed renewal from restoring such a reservation. */
final class EndedRequests {

    /** Exceeds the longest delay of a renewal in transit: connections without traffic are closed after 3 s. */
    private static final long RETENTION_MILLIS = 10_000;

    private static final int MAX_ENTRIES = 20_000;

    private final Map<RequestId, Long> endedAt = new LinkedHashMap<>();

    void add(RequestId request, long nowMillis) {
        endedAt.remove(request);
        endedAt.put(request, nowMillis);
        Iterator<Long> eldest = endedAt.values().iterator();
        while (eldest.hasNext() && (nowMillis - eldest.next() > RETENTION_MILLIS || endedAt.size() > MAX_ENTRIES)) {
            eldest.remove();
        }
    }

    void remove(RequestId request) {
        endedAt.remove(request);
    }

    boolean contains(RequestId request) {
        return endedAt.containsKey(request);
    }
}
