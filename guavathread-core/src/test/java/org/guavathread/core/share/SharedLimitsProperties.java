package org.guavathread.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.WorkspaceTerms;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against admitting more than a workspace's limit over all hosts, and against refusals below the limit. The
 * bounds are those that operators state: a quarter above the limit in any window, plus a fixed slack.
 */
class SharedLimitsProperties {

    private static final double RATE = 47_000;
    private static final double BURST = 47_000;
    private static final double SLACK = 190_000;
    private static final long WINDOW_MILLIS = 8_000;
    private static final long REPORT_MILLIS = 500;
    private static final WorkspaceTerms TERMS = WorkspaceTerms.builder(new WorkspaceId("w"))
            .apiKeys(Set.of("k"))
            .limit(RATE, BURST)
            .countsTokens(200)
            .build();

    private record Admission(long atMillis, double units) {}

    private static List<Admission> simulate(
            int hosts, double demandToLimitRatio, long seed, long partitionFromMillis, long partitionToMillis) {
        Random random = new Random(seed);
        List<SharedTokenLimits> limits = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            limits.add(new SharedTokenLimits(SLACK, true));
        }
        List<Admission> admissions = new ArrayList<>();
        double perRequest = 3_600;
        double requestsPerMilli = demandToLimitRatio * RATE / perRequest / 1_000;
        double pendingRequests = 0;
        for (long now = 1_000; now < 40_000; now++) {
            pendingRequests += requestsPerMilli;
            while (pendingRequests >= 1) {
                pendingRequests--;
                SharedTokenLimits chosen = limits.get(random.nextInt(hosts));
                if (chosen.admit(TERMS, perRequest, now) == 0 && chosen.send(TERMS, perRequest, now) == 0) {
                    admissions.add(new Admission(now, perRequest));
                }
            }
            if (now % REPORT_MILLIS == 0) {
                boolean partitioned = now >= partitionFromMillis && now < partitionToMillis;
                exchange(limits, partitioned, now);
            }
        }
        return admissions;
    }

    /** Exchanges reports among all hosts; in a partition, the first host is separated from all others. */
    private static void exchange(List<SharedTokenLimits> limits, boolean partitioned, long now) {
        int hosts = limits.size();
        for (int to = 0; to < hosts; to++) {
            int reachable = 1;
            for (int from = 0; from < hosts; from++) {
                if (from == to || partitioned && (from == 0 || to == 0)) {
                    continue;
                }
                reachable++;
                int sender = from;
                SharedTokenLimits receiver = limits.get(to);
                receiver.applyTotals(sender, now, limits.get(sender).totals(), now);
            }
            limits.get(to).setFleet(hosts, reachable / (double) hosts);
        }
    }

    private static double maxUnitsInWindow(List<Admission> admissions) {
        double max = 0;
        double sum = 0;
        int first = 0;
        for (Admission admission : admissions) {
            sum += admission.units();
            while (admissions.get(first).atMillis() <= admission.atMillis() - WINDOW_MILLIS) {
                sum -= admissions.get(first++).units();
            }
            max = Math.max(max, sum);
        }
        return max;
    }

    @Property(seed = "11", tries = 25)
    void noWindowExceedsTheBound(
            @ForAll @IntRange(min = 1, max = 14) int hosts, @ForAll @IntRange(min = 1, max = 80) int tenthsOfLimit) {
        double max = maxUnitsInWindow(simulate(hosts, tenthsOfLimit / 10.0, hosts * 31L + tenthsOfLimit, 0, 0));
        double bound = (RATE * WINDOW_MILLIS / 1_000 + BURST) * 1.25 + SLACK;
        assertTrue(max <= bound, max + " units in a window, at most " + bound + " are allowed");
    }

    @Property(seed = "12", tries = 15)
    void noWindowExceedsTheBoundWhileAHostIsPartitioned(@ForAll @IntRange(min = 2, max = 14) int hosts) {
        double max = maxUnitsInWindow(simulate(hosts, 7.5, hosts, 10_000, 22_000));
        double bound = (RATE * WINDOW_MILLIS / 1_000 + BURST) * 1.25 + SLACK;
        assertTrue(max <= bound, max + " units in a window, at most " + bound + " are allowed");
    }

    @Property(seed = "13", tries = 10)
    void demandBelowTheLimitIsNotRefused(@ForAll @IntRange(min = 1, max = 14) int hosts) {
        List<Admission> admissions = simulate(hosts, 0.9, hosts, 0, 0);
        double demand = 0.9 * RATE * 39;
        double admitted = admissions.stream().mapToDouble(Admission::units).sum();
        assertTrue(admitted > demand * 0.99, admitted + " of " + demand + " units were admitted");
    }

    @Test
    void chargeOfARequestThatDidNotRunIsRefunded() {
        SharedTokenLimits limits = new SharedTokenLimits(0, true);
        assertEquals(0, limits.admit(TERMS, BURST, 1_000));
        assertEquals(0, limits.send(TERMS, BURST, 1_000));
        assertTrue(limits.admit(TERMS, 1, 1_000) > 0);
        limits.refund(TERMS.id(), BURST);
        assertEquals(0, limits.admit(TERMS, 1, 1_000));
    }

    @Property(seed = "14", tries = 50)
    void retriesStayWithinTheFleetsBudget(
            @ForAll @IntRange(min = 1, max = 14) int hosts,
            @ForAll @IntRange(min = 0, max = 60) int requestsPerSecond) {
        ServiceName service = new ServiceName("s");
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            SharedRetryBudget budget = new SharedRetryBudget(0.2, 54, 10_000);
            budget.setHostCount(hosts);
            budgets.add(budget);
        }
        Random random = new Random(hosts * 100L + requestsPerSecond);
        List<Admission> retries = new ArrayList<>();
        for (long now = 0; now < 30_000; now += 10) {
            for (SharedRetryBudget budget : budgets) {
                if (random.nextDouble() < requestsPerSecond / 100.0 / hosts) {
                    budget.requestArrived(service, now);
                }
                while (budget.tryRetry(service, now)) {
                    retries.add(new Admission(now, 1));
                }
            }
        }
        int max = 0;
        for (Admission first : retries) {
            long until = first.atMillis() + 10_000;
            max = Math.max(max, (int) retries.stream()
                    .filter(r -> r.atMillis() >= first.atMillis() && r.atMillis() < until)
                    .count());
        }
        double bound = 0.2 * requestsPerSecond * 10 + 54;
        assertTrue(max <= bound, max + " retries in a window, at most " + bound + " are allowed");
    }
}
