package org.guavathread.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.id.RequestId;

/** Estimates the backlog of one prefill engine, which computes prompts one at a time. */
final class PrefillBacklog extends EngineState {

    /** Smoothing factor of the moving average of the rate. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /** Fixed cost of each prefill, and therefore the lowest estimate. */
    private static final long FIXED_MILLIS = 5;

    /** Shorter prompts are not sampled, because the fixed cost dominates their time. */
    private static final int MIN_SAMPLE_TOKENS = 400;

    /** Delay from the grant until the engine starts: the message to the host and its prefill call to the engine. */
    private static final long DISPATCH_MILLIS = 2;

    /** A prefill counts as stalled after this many times its estimate plus {@link #STALL_MILLIS}. */
    private static final int STALL_FACTOR = 3;

    private static final long STALL_MILLIS = 100;

    private record Pending(long millis) {}

    private final Map<RequestId, Pending> pending = new LinkedHashMap<>();
    private double tokensPerMilli;
    private long firstStartMillis;

    PrefillBacklog(EngineSpec spec, int startTokensPerMilli) {
        super(spec);
        tokensPerMilli = startTokensPerMilli;
    }

    long estimateMillis(int uncachedTokens) {
        return FIXED_MILLIS + Math.round(Math.ceil(uncachedTokens / tokensPerMilli));
    }

    void start(RequestId request, int uncachedTokens, long nowMillis) {
        if (pending.isEmpty()) {
            firstStartMillis = nowMillis + DISPATCH_MILLIS;
        }
        pending.put(request, new Pending(estimateMillis(uncachedTokens)));
    }

    void end(RequestId request, long nowMillis) {
        if (pending.remove(request) != null) {
            firstStartMillis = nowMillis;
        }
    }

    void learn(int uncachedTokens, int serviceMillis) {
        if (uncachedTokens >= MIN_SAMPLE_TOKENS && serviceMillis > FIXED_MILLIS) {
            tokensPerMilli +=
                    SMOOTHING_FACTOR * (uncachedTokens / (double) (serviceMillis - FIXED_MILLIS) - tokensPerMilli);
        }
    }

    /** Estimates when the engine will have finished its pending prefills. */
    long freeAtMillis(long nowMillis) {
        long freeAt = nowMillis;
        boolean first = true;
        for (Pending each : pending.values()) {
            freeAt += first ? Math.max(1, firstStartMillis + each.millis() - nowMillis) : each.millis();
            first = false;
        }
        return freeAt;
    }

    boolean isStalled(long nowMillis) {
        Iterator<Pending> all = pending.values().iterator();
        return all.hasNext()
                && nowMillis - firstStartMillis > STALL_FACTOR * all.next().millis() + STALL_MILLIS;
    }
}
