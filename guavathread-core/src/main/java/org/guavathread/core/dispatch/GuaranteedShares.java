package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.guavathread.core.routing.Priority;

/**
 * Guarantees each priority of a service a part of the capacity while its requests wait, so that urgent requests beyond the
 * capacity do not stop all others. Not thread-safe.
 */
final class GuaranteedShares {

    /** Part of the admitted work that a priority gets while its requests wait. */
    private static final double MIN_SHARE = 0.1;

    /** Half-life of admitted work: about as long as a language request occupies engine memory. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    private final Map<Priority, Double> admitted = new TreeMap<>();
    private long decayedAtMillis;

    /**
     * Records that a request was admitted.
     *
     * @param priority its priority
     * @param workTokens its work
     * @param nowMillis the current time
     */
    void admitted(Priority priority, int workTokens, long nowMillis) {
        decay(nowMillis);
        admitted.merge(priority, (double) Math.max(1, workTokens), Double::sum);
    }

    /**
     * Returns the priority whose requests go next, whatever else waits.
     *
     * @param waiting the priorities of the waiting requests
     * @param nowMillis the current time
     * @return the most urgent one that has got less than it is guaranteed
     */
    Optional<Priority> owed(Collection<Priority> waiting, long nowMillis) {
        decay(nowMillis);
        double total =
                admitted.values().stream().mapToDouble(Double::doubleValue).sum();
        return waiting.stream()
                .filter(priority -> admitted.getOrDefault(priority, 0.0) < MIN_SHARE * total)
                .min(Priority::compareTo);
    }

    private void decay(long nowMillis) {
        double factor = Math.pow(0.5, Math.max(0, nowMillis - decayedAtMillis) / HALF_LIFE_MILLIS);
        decayedAtMillis = nowMillis;
        admitted.replaceAll((priority, work) -> work * factor);
        admitted.values().removeIf(work -> work < 1);
    }
}
