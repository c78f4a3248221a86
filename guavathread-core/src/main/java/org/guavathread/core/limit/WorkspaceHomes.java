package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.HostId;

/**
 * What a requester believes about the home hosts of one workspace: which there are, what each holds by its last answer
 * and the refill since, and which do not answer. It is a hint that decides whom to ask, never whether to admit.
 */
final class WorkspaceHomes {

    /** With a larger part of a bucket, full shares elsewhere lose more refill; with a smaller one, messages increase. */
    private static final double MAX_IMBALANCE = 0.25;

    /** Within a few round trips, only returned grants can raise a level faster than its refill. */
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
     * Tells whether fresh answers show that the refill before the request is refused cannot suffice. Under overload this
     * saves most of the messages.
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

    /** Counts the charges of requests that wait for their next try at this host. */
    void changePlanned(long tokens) {
        plannedTokens += tokens;
    }

    /** Estimates when the home hosts that answer will hold what a request lacks. */
    long millisUntilFilled(Gathering gathering, long nowMillis) {
        List<HostId> answering = answeringHomes(nowMillis);
        double present = gathering.heldTokens();
        for (HostId home : answering) {
            present += estimateTokens(home, nowMillis);
        }
        // Without the planned charges, an overload makes all waiting requests try again for the same refill.
        long missing = (long) Math.ceil(gathering.request().tokens() + plannedTokens - present);
        return terms.millisToRefill(missing, answering.size(), Math.max(1, homes.size()));
    }

    /**
     * Splits an amount over home hosts. This host pays alone if it holds enough, because that needs no message; otherwise
     * the fullest one does. Where that would leave the payer much emptier than another one, whose refill would then be
     * lost, the amount is split so that those who pay are left with the same level.
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
        // Rounding of the levels can leave a token.
        if (rest > 0) {
            parts.merge(fullestFirst.get(0), rest, Long::sum);
        }
        return parts;
    }

    private Map<HostId, Long> proportional(long tokens, List<HostId> candidates, long nowMillis) {
        // One token is added to each, so that hosts believed empty are asked for something too.
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
