package org.guavathread.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

/** Estimates output lengths by an exponential moving average for each workspace and request kind. */
final class OutputEstimator {

    /** Smoothing factor of the moving average, which reflects about the last twenty requests. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Beyond this number of entries, the least recently used one is evicted. */
    private static final int MAX_ENTRIES = 4_096;

    private record Key(WorkspaceId workspace, RequestKind kind) {}

    private static final class Estimate {
        private double mean;
        private double deviation;
    }

    private final Map<Key, Estimate> estimates = new LinkedHashMap<>(64, 0.75f, true);

    /** Returns the mean output length plus one mean deviation; half of the limit if there is no sample. */
    int expectedTokens(WorkspaceId workspace, RequestKind kind, int maxOutputTokens) {
        Estimate estimate = estimates.get(new Key(workspace, kind));
        if (estimate == null) {
            return Math.max(1, maxOutputTokens / 2);
        }
        long expected = Math.round(estimate.mean + estimate.deviation);
        return (int) Math.max(1, Math.min(maxOutputTokens, expected));
    }

    /** Returns the expected output length, or 0 without samples: refusals must not rest on a default. */
    int expectedTokensIfSampled(PlaceRequest request) {
        boolean known = estimates.containsKey(new Key(request.workspace(), request.kind()));
        return known ? expectedTokens(request.workspace(), request.kind(), request.maxOutputTokens()) : 0;
    }

    void record(WorkspaceId workspace, RequestKind kind, int outputTokens) {
        Key key = new Key(workspace, kind);
        Estimate estimate = estimates.get(key);
        if (estimate == null) {
            estimate = new Estimate();
            estimate.mean = outputTokens;
            estimates.put(key, estimate);
            evictLeastRecentlyUsed();
            return;
        }
        double error = outputTokens - estimate.mean;
        estimate.mean += SMOOTHING_FACTOR * error;
        estimate.deviation += SMOOTHING_FACTOR * (Math.abs(error) - estimate.deviation);
    }

    private void evictLeastRecentlyUsed() {
        if (estimates.size() > MAX_ENTRIES) {
            estimates.remove(estimates.keySet().iterator().next());
        }
    }
}
