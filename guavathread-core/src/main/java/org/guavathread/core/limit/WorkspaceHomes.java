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
final class WorkspaceHomes {

    /** Fraction of a bucket. If larger, full buckets of other hosts lose more refill; if smaller, messages increase. */
    private static final double MAX_IMBALANCE = 0.25;

    /** A few round trips. Until then, only returned grants can raise a level faster than the estimated refill. */
    private static final long FRESH_MILLIS = 20;

    private final LimitTerms terms;
    private final List<HostId> homes;
    private final Map<HostId, Estimate> estimates = new HashMap<>();
    private long plannedTokens;

    private static final class Estimate {
        private double tokens;
        private long atMillis;
        private long heardAtMillis;
        private long silentUntilMillis;
    }

    WorkspaceHomes(LimitTerms terms, List<HostId> homes, WorkspaceHomes before, long nowMillis) {
        this.terms = terms;
        this.homes = homes;
        this.plannedTokens = before == null ? 0 : before.plannedTokens;
        for (HostId home : homes) {
            Estimate old = before == null ? null : before.estimates.get(home);
            if (old == null) {
                old = new Estimate();
                old.tokens = capacityOfOne();
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

    private double capacityOfOne() {
        return (double) terms.totalCapacityTokens() / homes.size();
    }

    double estimateTokens(HostId home, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e == null) {
            return 0;
        }
        double refilled = terms.ratePerSecond() * (nowMillis - e.atMillis) / (1000.0 * homes.size());
        return Math.min(capacityOfOne(), e.tokens + refilled);
    }

    void noteLevel(HostId home, double tokens, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.tokens = tokens;
            e.atMillis = nowMillis;
            e.heardAtMillis = nowMillis;
            e.silentUntilMillis = 0;
        }
    }

    void noteChange(HostId home, long tokens, long nowMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.tokens = Math.max(0, estimateTokens(home, nowMillis) + tokens);
            e.atMillis = nowMillis;
        }
    }

    void noteSilent(HostId home, long untilMillis) {
        Estimate e = estimates.get(home);
        if (e != null) {
            e.silentUntilMillis = untilMillis;
        }
    }

    boolean answers(HostId home, long nowMillis) {
        Estimate e = estimates.get(home);
        return e != null && nowMillis >= e.silentUntilMillis;
    }

    List<HostId> answeringHomes(long nowMillis) {
        return homes.stream().filter(h -> answers(h, nowMillis)).toList();
    }

    /**
     * Returns whether recent replies show that the refill until the request is refused cannot suffice. Under overload,
     * this saves most of the messages.
     */
    boolean knowsTooLittleIsThere(Gathering gathering, long nowMillis) {
        for (HostId home : homes) {
            Estimate e = estimates.get(home);
            if (nowMillis >= e.silentUntilMillis && nowMillis - e.heardAtMillis > FRESH_MILLIS) {
                return false;
            }
        }
        return millisUntilFilled(gathering, nowMillis) > gathering.giveUpAtMillis() - nowMillis;
    }

    /** Adjusts the total charge of the requests at this host that wait for a retry. */
    void changePlanned(long tokens) {
        plannedTokens += tokens;
    }

    /** Estimates how long the responsive home hosts need to refill what a request lacks. */
    long millisUntilFilled(Gathering gathering, long nowMillis) {
        List<HostId> answering = answeringHomes(nowMillis);
        double present = gathering.heldTokens();
        for (HostId home : answering) {
            present += estimateTokens(home, nowMillis);
        }
        // Without the charges of pending retries, all waiting requests would retry for the same refill under overload.
        long missing = (long) Math.ceil(gathering.request().tokens() + plannedTokens - present);
        return terms.millisToRefill(missing, answering.size(), Math.max(1, homes.size()));
    }

    /**
     * Splits an amount over home hosts. The whole amount is taken from this host if its level suffices, because that
     * needs no message; otherwise from the fullest home host. Where this would leave the host much emptier than another
     * one, whose refill would then be lost, the amount is split so that the chosen hosts are left with equal levels.
     */
    Map<HostId, Long> split(long tokens, List<HostId> candidates, HostId self, long nowMillis) {
        List<HostId> fullestFirst = new ArrayList<>(candidates);
        fullestFirst.sort(Comparator.comparingDouble((HostId h) -> -estimateTokens(h, nowMillis)));
        double tolerance = MAX_IMBALANCE * capacityOfOne();
        double most = estimateTokens(fullestFirst.get(0), nowMillis);
        if (candidates.contains(self) && paysAlone(estimateTokens(self, nowMillis) - tokens, most, tolerance)) {
            return Map.of(self, tokens);
        }
        double second = fullestFirst.size() > 1 ? estimateTokens(fullestFirst.get(1), nowMillis) : 0;
        if (paysAlone(most - tokens, second, tolerance)) {
            return Map.of(fullestFirst.get(0), tokens);
        }
        return levelling(tokens, fullestFirst, nowMillis);
    }

    private static boolean paysAlone(double left, double fullestOther, double tolerance) {
        return left >= 0 && fullestOther - left <= tolerance;
    }

    private Map<HostId, Long> levelling(long tokens, List<HostId> fullestFirst, long nowMillis) {
        double sum = 0;
        double level = 0;
        int payers = 0;
        for (HostId home : fullestFirst) {
            double present = estimateTokens(home, nowMillis);
            if (payers > 0 && present <= level) {
                break;
            }
            sum += present;
            payers++;
            level = (sum - tokens) / payers;
        }
        if (level < 0) {
            return proportional(tokens, fullestFirst, nowMillis);
        }
        Map<HostId, Long> parts = new LinkedHashMap<>();
        long rest = tokens;
        for (HostId home : fullestFirst.subList(0, payers)) {
            long part = Math.min(rest, (long) Math.ceil(estimateTokens(home, nowMillis) - level));
            if (part > 0) {
                parts.put(home, part);
                rest -= part;
            }
        }
        // Rounding can leave a remainder.
        if (rest > 0) {
            parts.merge(fullestFirst.get(0), rest, Long::sum);
        }
        return parts;
    }

    private Map<HostId, Long> proportional(long tokens, List<HostId> candidates, long nowMillis) {
        // Adds one token to each, so that hosts with an estimate of 0 are asked, too.
        double total = 0;
        for (HostId home : candidates) {
            total += estimateTokens(home, nowMillis) + 1;
        }
        Map<HostId, Long> parts = new LinkedHashMap<>();
        long rest = tokens;
        for (HostId home : candidates) {
            long part = Math.min(rest, (long) Math.ceil(tokens * (estimateTokens(home, nowMillis) + 1) / total));
            if (part > 0) {
                parts.put(home, part);
                rest -= part;
            }
        }
        return parts;
    }
}
