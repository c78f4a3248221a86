package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.HostId;

/**
 * A requester's estimates of the home hosts of one workspace: the bucket level of each, from its last reply and the
 * refill since, and which of them do not respond. They decide which hosts to ask, never whether to admit.
 */
final class HomeHostEstimates {

    /** Fraction of a bucket. If larger, full buckets of other hosts lose more refill; if smaller, messages increase. */
    private static final double MAX_IMBALANCE = 0.25;

    /** A few round trips. Until then, only returned grants can raise a level faster than the estimated refill. */
    private static final long FRESH_MILLIS = 20;

    private final LimitTerms terms;
    private final List<HostId> homes;
    private final Map<HostId, Estimate> estimates = new HashMap<>();
    private long pendingRetryTokens;

    private static final class Estimate {
        private double tokens;
        private long atMillis;
        private long lastReplyAtMillis;
        private long unresponsiveUntilMillis;
    }

    HomeHostEstimates(LimitTerms terms, List<HostId> homes, HomeHostEstimates previous, long nowMillis) {
        this.terms = terms;
        this.homes = homes;
        this.pendingRetryTokens = previous == null ? 0 : previous.pendingRetryTokens;
        for (HostId home : homes) {
            Estimate old = previous == null ? null : previous.estimates.get(home);
            if (old == null) {
                old = new Estimate();
                old.tokens = capacityPerHome();
                old.atMillis = nowMillis;
            }
            estimates.put(home, old);
        }
    }

    LimitTerms terms() {
        return terms;
    }

    List<HostId> homes() {
        return homes;
    }

    private double capacityPerHome() {
        return (double) terms.totalCapacityTokens() / homes.size();
    }

    double estimateTokens(HostId home, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e == null) {
            return 0;
        }
        double refilled = terms.ratePerSecond() * (nowMillis - e.atMillis) / (1000.0 * homes.size());
        return Math.min(capacityPerHome(), e.tokens + refilled);
    }

    void recordLevel(HostId home, double tokens, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.tokens = tokens;
            e.atMillis = nowMillis;
            e.lastReplyAtMillis = nowMillis;
            e.unresponsiveUntilMillis = 0;
        }
    }

    void adjustLevel(HostId home, long tokens, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.tokens = Math.max(0, estimateTokens(home, nowMillis) + tokens);
            e.atMillis = nowMillis;
        }
    }

    void markUnresponsive(HostId home, long untilMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.unresponsiveUntilMillis = untilMillis;
        }
    }

    boolean isResponsive(HostId home, long nowMillis) {
        Estimate e = estimates.get(home);
        return e != null && nowMillis >= e.unresponsiveUntilMillis;
    }

    List<HostId> responsiveHomes(long nowMillis) {
        return homes.stream().filter(h -> isResponsive(h, nowMillis)).toList();
    }

    /**
     * Returns whether recent replies show that the refill until the request is refused cannot suffice. Under overload,
     * this saves most of the messages.
     */
    boolean isKnownInsufficient(BudgetAcquisition acquisition, long nowMillis) {
        for (HostId home : homes) {
            Estimate e = estimates.get(home);
            if (nowMillis >= e.unresponsiveUntilMillis && nowMillis - e.lastReplyAtMillis > FRESH_MILLIS) {
                return false;
            }
        }
        return millisUntilFilled(acquisition, nowMillis) > acquisition.giveUpAtMillis() - nowMillis;
    }

    /** Adjusts the total charge of the requests at this host that wait for a retry. */
    void changePendingRetryTokens(long tokens) {
        pendingRetryTokens += tokens;
    }

    /** Estimates how long the responsive home hosts need to refill what a request lacks. */
    long millisUntilFilled(BudgetAcquisition acquisition, long nowMillis) {
        List<HostId> responsive = responsiveHomes(nowMillis);
        double available = acquisition.heldTokens();
        for (HostId home : responsive) {
            available += estimateTokens(home, nowMillis);
        }
        // Without the charges of pending retries, all waiting requests would retry for the same refill under overload.
        long missing = (long) Math.ceil(acquisition.request().tokens() + pendingRetryTokens - available);
        return terms.millisToRefill(missing, responsive.size(), Math.max(1, homes.size()));
    }

    /**
     * Splits an amount over home hosts. The whole amount is taken from this host if its level suffices, because that
     * needs no message; otherwise from the fullest home host. Where this would leave the host much emptier than another
     * one, whose refill would then be lost, the amount is split so that the chosen hosts are left with equal levels.
     */
    Map<HostId, Long> split(long tokens, List<HostId> candidates, HostId self, long nowMillis) {
        List<HostId> fullestFirst = new ArrayList<>(candidates);
        fullestFirst.sort(Comparator.comparingDouble((HostId h) -> -estimateTokens(h, nowMillis)));
        double tolerance = MAX_IMBALANCE * capacityPerHome();
        double most = estimateTokens(fullestFirst.get(0), nowMillis);
        if (candidates.contains(self) && coversAlone(estimateTokens(self, nowMillis) - tokens, most, tolerance)) {
            return Map.of(self, tokens);
        }
        double second = fullestFirst.size() > 1 ? estimateTokens(fullestFirst.get(1), nowMillis) : 0;
        if (coversAlone(most - tokens, second, tolerance)) {
            return Map.of(fullestFirst.get(0), tokens);
        }
        return splitToEqualLevels(tokens, fullestFirst, nowMillis);
    }

    private static boolean coversAlone(double left, double fullestOther, double tolerance) {
        return left >= 0 && fullestOther - left <= tolerance;
    }

    private Map<HostId, Long> splitToEqualLevels(long tokens, List<HostId> fullestFirst, long nowMillis) {
        double sum = 0;
        double level = 0;
        int chosen = 0;
        for (HostId home : fullestFirst) {
            double available = estimateTokens(home, nowMillis);
            if (chosen > 0 && available <= level) {
                break;
            }
            sum += available;
            chosen++;
            level = (sum - tokens) / chosen;
        }
        if (level < 0) {
            return splitProportionally(tokens, fullestFirst, nowMillis);
        }
        Map<HostId, Long> parts = new LinkedHashMap<>();
        long remaining = tokens;
        for (HostId home : fullestFirst.subList(0, chosen)) {
            long part = Math.min(remaining, (long) Math.ceil(estimateTokens(home, nowMillis) - level));
            if (part > 0) {
                parts.put(home, part);
                remaining -= part;
            }
        }
        // Rounding can leave a remainder.
        if (remaining > 0) {
            parts.merge(fullestFirst.get(0), remaining, Long::sum);
        }
        return parts;
    }

    private Map<HostId, Long> splitProportionally(long tokens, List<HostId> candidates, long nowMillis) {
        // Adds one token to each, so that hosts with an estimate of 0 are asked, too.
        double total = 0;
        for (HostId home : candidates) {
            total += estimateTokens(home, nowMillis) + 1;
        }
        Map<HostId, Long> parts = new LinkedHashMap<>();
        long remaining = tokens;
        for (HostId home : candidates) {
            long part = Math.min(remaining, (long) Math.ceil(tokens * (estimateTokens(home, nowMillis) + 1) / total));
            if (part > 0) {
                parts.put(home, part);
                remaining -= part;
            }
        }
        return parts;
    }
}
