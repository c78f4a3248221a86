package org.guavathread.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

/** Estimates output lengths by an exponential moving average for each workspace and request kind. */
final class OutputEstimator {

    /** Smoothing factor of the moving average, which reflects about the last twenty requests. */
    private static final double GAIN = 0.1;

    /** Beyond this number of entries, the least recently used one is evicted. */
    private static final int MAX_WORKSPACES = 4_096;

    private record Key(WorkspaceId workspace, RequestKind kind) {}

    private static final class Sample {
        private double mean;
        private double deviation;
    }

    private final Map<Key, Sample> samples = new LinkedHashMap<>(64, 0.75f, true);

    /** Returns the mean output length plus one mean deviation; half of the limit if there is no sample. */
    int expectedTokens(WorkspaceId workspace, RequestKind kind, int maxOutputTokens) {
        Sample sample = samples.get(new Key(workspace, kind));
        if (sample == null) {
            return Math.max(1, maxOutputTokens / 2);
        }
        long expected = Math.round(sample.mean + sample.deviation);
        return (int) Math.max(1, Math.min(maxOutputTokens, expected));
    }

    /** Returns the expected output length, or 0 without samples: refusals must not rest on a default. */
    int knownTokens(PlaceRequest request) {
        boolean known = samples.containsKey(new Key(request.workspace(), request.kind()));
        return known ? expectedTokens(request.workspace(), request.kind(), request.maxOutputTokens()) : 0;
    }

    void record(WorkspaceId workspace, RequestKind kind, int outputTokens) {
        Key key = new Key(workspace, kind);
        Sample sample = samples.get(key);
        if (sample == null) {
            sample = new Sample();
            sample.mean = outputTokens;
            samples.put(key, sample);
            dropEldestBeyondBound();
            return;
        }
        double error = outputTokens - sample.mean;
        sample.mean += GAIN * error;
        sample.deviation += GAIN * (Math.abs(error) - sample.deviation);
    }

    private void dropEldestBeyondBound() {
        if (samples.size() > MAX_WORKSPACES) {
            samples.remove(samples.keySet().iterator().next());
        }
    }
}
