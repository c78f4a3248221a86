package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.guavathread.core.limit.LimitTerms;

/**
 * Finds the largest excess of admitted tokens over rate x t + burst in any window. While hosts know different rates,
 * and one grant validity longer, the larger rate and burst apply.
 */
final class WindowMeter {

    private static final long VALIDITY_MILLIS = LimitTerms.MAX_VALIDITY_MILLIS;

    private static final class Use {
        private final long atMillis;
        private long tokens;

        private Use(long atMillis, long tokens) {
            this.atMillis = atMillis;
            this.tokens = tokens;
        }
    }

    private record Terms(long rate, long burst) {
        private Terms max(Terms other) {
            return new Terms(Math.max(rate, other.rate), Math.max(burst, other.burst));
        }
    }

    private final List<Use> uses = new ArrayList<>();
    private final TreeMap<Long, Terms> known = new TreeMap<>();

    /** Records the largest rate and burst that any host knows from now on. */
    void terms(long atMillis, long rate, long burst) {
        // Events of the same millisecond may come before or after the change, so the larger terms apply to it.
        Terms terms = new Terms(rate, burst);
        Map.Entry<Long, Terms> before = known.floorEntry(atMillis);
        known.put(atMillis, before == null ? terms : terms.max(before.getValue()));
        known.put(atMillis + 1, terms);
    }

    /** Records an admission; the returned task subtracts the unused tokens. */
    Runnable admitted(long atMillis, long tokens, long unused) {
        Use use = new Use(atMillis, tokens);
        uses.add(use);
        return () -> use.tokens -= unused;
    }

    long usedTokens() {
        return uses.stream().mapToLong(u -> u.tokens).sum();
    }

    /** Gives the largest excess in tokens; negative or zero if the bound held in every window. */
    double largestExcess() {
        uses.sort(Comparator.comparingLong(u -> u.atMillis));
        TreeMap<Long, Terms> inForce = termsInForce();
        Terms most = inForce.values().stream().reduce(Terms::max).orElseThrow();
        double worst = -most.burst;
        double overall = 0;
        double inSegment = 0;
        long last = Long.MIN_VALUE;
        Long lastSegment = null;
        for (Use use : uses) {
            Long segment = inForce.floorKey(use.atMillis);
            Terms now = inForce.get(segment);
            overall = last == Long.MIN_VALUE ? 0 : Math.max(0, overall - refill(inForce, last, use.atMillis));
            long since = Math.max(last, segment);
            inSegment = segment.equals(lastSegment)
                    ? Math.max(0, inSegment - now.rate * (use.atMillis - since) / 1000.0)
                    : 0;
            overall += use.tokens;
            inSegment += use.tokens;
            worst = Math.max(worst, Math.max(overall - most.burst, inSegment - now.burst));
            last = use.atMillis;
            lastSegment = segment;
        }
        return worst;
    }

    private static double refill(TreeMap<Long, Terms> inForce, long from, long to) {
        double sum = 0;
        long at = from;
        while (at < to) {
            Long next = inForce.higherKey(at);
            long until = next == null ? to : Math.min(to, next);
            sum += inForce.floorEntry(at).getValue().rate * (until - at) / 1000.0;
            at = until;
        }
        return sum;
    }

    /** Extends larger terms by one grant validity. */
    private TreeMap<Long, Terms> termsInForce() {
        TreeMap<Long, Terms> result = new TreeMap<>();
        List<Long> changes = new ArrayList<>(known.keySet());
        known.keySet().forEach(at -> changes.add(at + VALIDITY_MILLIS));
        for (long at : changes) {
            Long first = known.floorKey(Math.max(known.firstKey(), at - VALIDITY_MILLIS));
            Terms terms = known.subMap(first, true, at, true).values().stream()
                    .reduce(Terms::max)
                    .orElseThrow();
            result.put(at, terms);
        }
        Long previous = null;
        for (Long at : List.copyOf(result.keySet())) {
            if (previous != null && result.get(previous).equals(result.get(at))) {
                result.remove(at);
            } else {
                previous = at;
            }
        }
        return result;
    }
}
