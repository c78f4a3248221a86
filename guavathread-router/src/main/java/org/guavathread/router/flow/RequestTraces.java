package org.guavathread.router.flow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.time.Clock;

/** Keeps the steps of the most recent requests for {@code guavathread explain}. Thread-safe. */
public final class RequestTraces {

    /** Takes about 2 MB at ten steps per request. */
    private static final int MAX_REQUESTS = 2_000;

    private static final int MAX_STEPS = 40;

    /**
     * One step.
     *
     * @param atMillis when, in milliseconds since the epoch
     * @param text what happened
     */
    public record Step(long atMillis, String text) {}

    private final Clock clock;
    private final Map<RequestId, List<Step>> stepsByRequest = new LinkedHashMap<>();

    /**
     * Creates an empty store.
     *
     * @param clock source of the time
     */
    public RequestTraces(Clock clock) {
        this.clock = clock;
    }

    /**
     * Adds a step.
     *
     * @param request the request
     * @param text what happened
     */
    public synchronized void add(RequestId request, String text) {
        List<Step> steps = stepsByRequest.computeIfAbsent(request, id -> new ArrayList<>(4));
        if (steps.size() < MAX_STEPS) {
            steps.add(new Step(clock.nowMillis(), text));
        }
        if (stepsByRequest.size() > MAX_REQUESTS) {
            stepsByRequest.remove(stepsByRequest.keySet().iterator().next());
        }
    }

    /**
     * Lists the steps of a request.
     *
     * @param request the request
     * @return its steps, oldest first; empty if the request is unknown or its steps were evicted
     */
    public synchronized List<Step> of(RequestId request) {
        return List.copyOf(stepsByRequest.getOrDefault(request, List.of()));
    }
}
