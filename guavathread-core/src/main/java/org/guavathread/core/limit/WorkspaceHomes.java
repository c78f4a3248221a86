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

    private final LimitTerms terms;
    private final List<HostId> homes;
    private final Map<HostId, Estimate> estimates = new HashMap<>();

    private static final class Estimate {
        private double tokens;
        private long atMillis;
        private long silentUntilMillis;
    }

    WorkspaceHomes(LimitTerms terms, List<HostId> homes, WorkspaceHomes before, long nowMillis) {
        this.terms = terms;
        this.homes = homes;
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

    /** Estimates when the home hosts that answer will hold what a request lacks. */
    long millisUntilFilled(Gathering gathering, long nowMillis) {
        List<HostId> answering = answeringHomes(nowMillis);
        double present = gathering.heldTokens();
        for (HostId home : answering) {
            present += estimateTokens(home, nowMillis);
        }
        long missing = (long) Math.ceil(gathering.request().tokens() - present);
        return terms.millisToRefill(missing, answering.size(), Math.max(1, homes.size()));
    }

    /**
     * Splits an amount over home hosts: to the fullest alone if it holds enough, which costs one message and keeps the
     * levels even, otherwise in proportion to the levels.
     */
    Map<HostId, Long> split(long tokens, List<HostId> candidates, long nowMillis) {
        Map<HostId, Long> parts = new LinkedHashMap<>();
        List<HostId> fullestFirst = new ArrayList<>(candidates);
        fullestFirst.sort(Comparator.comparingDouble((HostId h) -> -estimateTokens(h, nowMillis)));
        HostId fullest = fullestFirst.get(0);
        if (estimateTokens(fullest, nowMillis) >= tokens) {
            parts.put(fullest, tokens);
            return parts;
        }
        // One token is added to each, so that hosts believed empty are asked for something too.
        double total = 0;
        for (HostId home : fullestFirst) {
            total += estimateTokens(home, nowMillis) + 1;
        }
        long rest = tokens;
        for (HostId home : fullestFirst) {
            long part = Math.min(rest, (long) Math.ceil(tokens * (estimateTokens(home, nowMillis) + 1) / total));
            if (part > 0) {
                parts.put(home, part);
                rest -= part;
            }
        }
        return parts;
    }
}
