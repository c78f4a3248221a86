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

    private static final class Admission {
        private final long atMillis;
        private long tokens;

        private Admission(long atMillis, long tokens) {
            this.atMillis = atMillis;
            this.tokens = tokens;
        }
    }

    private record Terms(long rate, long burst) {
        private Terms max(Terms other) {
            return new Terms(Math.max(rate, other.rate), Math.max(burst, other.burst));
        }
    }

    private final List<Admission> admissions = new ArrayList<>();
    private final TreeMap<Long, Terms> largestKnown = new TreeMap<>();

    /** Records the largest rate and burst that any host knows from now on. */
    void recordTerms(long atMillis, long rate, long burst) {
        // Events of the same millisecond may come before or after the change, so the larger terms apply to it.
        Terms terms = new Terms(rate, burst);
        Map.Entry<Long, Terms> before = largestKnown.floorEntry(atMillis);
        largestKnown.put(atMillis, before == null ? terms : terms.max(before.getValue()));
        largestKnown.put(atMillis + 1, terms);
    }

    /** Records an admission; the returned task subtracts the unused tokens. */
    Runnable recordAdmission(long atMillis, long tokens, long unused) {
        Admission admission = new Admission(atMillis, tokens);
        admissions.add(admission);
        return () -> admission.tokens -= unused;
    }

    long usedTokens() {
        return admissions.stream().mapToLong(a -> a.tokens).sum();
    }

    /** Gives the largest excess in tokens; negative or zero if the bound held in every window. */
    double largestExcess() {
        admissions.sort(Comparator.comparingLong(a -> a.atMillis));
        TreeMap<Long, Terms> termsByTime = termsInForce();
        Terms maxTerms = termsByTime.values().stream().reduce(Terms::max).orElseThrow();
        double worst = -maxTerms.burst;
        double overall = 0;
        double inSegment = 0;
        long lastAtMillis = Long.MIN_VALUE;
        Long lastSegment = null;
        for (Admission admission : admissions) {
            Long segment = termsByTime.floorKey(admission.atMillis);
            Terms now = termsByTime.get(segment);
            overall = lastAtMillis == Long.MIN_VALUE
                    ? 0
                    : Math.max(0, overall - refill(termsByTime, lastAtMillis, admission.atMillis));
            long since = Math.max(lastAtMillis, segment);
            inSegment = segment.equals(lastSegment)
                    ? Math.max(0, inSegment - now.rate * (admission.atMillis - since) / 1000.0)
                    : 0;
            overall += admission.tokens;
            inSegment += admission.tokens;
            worst = Math.max(worst, Math.max(overall - maxTerms.burst, inSegment - now.burst));
            lastAtMillis = admission.atMillis;
            lastSegment = segment;
        }
        return worst;
    }

    private static double refill(TreeMap<Long, Terms> termsByTime, long from, long to) {
        double sum = 0;
        long at = from;
        while (at < to) {
            Long next = termsByTime.higherKey(at);
            long until = next == null ? to : Math.min(to, next);
            sum += termsByTime.floorEntry(at).getValue().rate * (until - at) / 1000.0;
            at = until;
        }
        return sum;
    }

    /** Extends larger terms by one grant validity. */
    private TreeMap<Long, Terms> termsInForce() {
        TreeMap<Long, Terms> result = new TreeMap<>();
        List<Long> changes = new ArrayList<>(largestKnown.keySet());
        largestKnown.keySet().forEach(at -> changes.add(at + VALIDITY_MILLIS));
        for (long at : changes) {
            Long first = largestKnown.floorKey(Math.max(largestKnown.firstKey(), at - VALIDITY_MILLIS));
            Terms terms = largestKnown.subMap(first, true, at, true).values().stream()
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
