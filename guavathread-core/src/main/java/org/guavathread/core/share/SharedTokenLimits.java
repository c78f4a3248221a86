package org.guavathread.core.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.WorkspaceTerms;

/**
 * Distributed rate limit: rate and burst of each workspace over all hosts. Every host keeps a token bucket for the
 * whole fleet and debits what it admits itself and what the others report. Reports carry running totals, so a lost or
 * repeated report does no harm. What is admitted before the reports arrive overdraws the bucket, and the excess is
 * refused later.
 *
 * <p>While some known hosts are unreachable, the bucket is refilled only in proportion to the reachable hosts, because
 * the others may spend the rest.
 */
public final class SharedTokenLimits {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Factor on the published rate, because the callers' own clocks and counts differ a little from these. */
    private static final double RATE_TOLERANCE = 1.05;

    /** Minimum share of a partitioned group of hosts: callers that can reach it cannot reach the others. */
    private static final double MIN_REACHABLE_SHARE = 0.35;

    /** Fraction of the slack that extends the burst; the rest covers what is admitted before reports arrive. */
    private static final double BURST_FRACTION_OF_SLACK = 0.25;

    private static final class Bucket {
        private double tokens;
        private double admitted;
        private double refused;
        private long refilledAtMillis;
        private double rate;
        private double burst;
    }

    private final double burstAllowance;
    private final boolean startsFull;
    private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
    private final Map<WorkspaceId, Map<HostId, ReportedTotal>> reported = new HashMap<>();
    private double reachableShare = 1;

    private record ReportedTotal(long incarnation, double units) {}

    /**
     * Creates the limits.
     *
     * @param slack units that may be admitted beyond rate and burst in a window, over all hosts
     * @param startsFull whether the buckets start full; false after a restart, when earlier requests of the fleet may
     *     have used the burst
     */
    public SharedTokenLimits(double slack, boolean startsFull) {
        this.burstAllowance = slack * BURST_FRACTION_OF_SLACK;
        this.startsFull = startsFull;
    }

    /**
     * Admits and charges a request if the workspace has budget left.
     *
     * @param terms the workspace with its limit
     * @param units the charge
     * @param nowMillis the current time
     * @return 0 if the request is admitted, otherwise the milliseconds until the budget suffices for it and for all
     *     requests that were refused before it
     */
    public long admit(WorkspaceTerms terms, double units, long nowMillis) {
        if (!terms.isLimited()) {
            return 0;
        }
        Bucket bucket = bucketOf(terms, nowMillis);
        if (bucket.tokens <= 0) {
            // Callers that were refused earlier will retry too, so later ones are told to retry after them.
            double perMilli = bucket.rate * reachableShare / MILLIS_PER_SECOND;
            long millis = (long) Math.ceil((bucket.refused - bucket.tokens) / perMilli);
            bucket.refused += units;
            return Math.max(1, millis);
        }
        bucket.tokens -= units;
        bucket.admitted += units;
        return 0;
    }

    /**
     * Refunds the charge of a request that did not run.
     *
     * @param workspace the workspace
     * @param units the charge
     */
    public void refund(WorkspaceId workspace, double units) {
        Bucket bucket = buckets.get(workspace);
        if (bucket != null) {
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + units);
            bucket.admitted -= units;
        }
    }

    /**
     * Applies the running total of another host.
     *
     * @param host the host
     * @param incarnation start time of its process; a later process counts from 0 again
     * @param workspace the workspace
     * @param total units that it admitted since its start
     * @return units that it admitted since its last report
     */
    public double applyTotal(HostId host, long incarnation, WorkspaceId workspace, double total) {
        Map<HostId, ReportedTotal> totals = reported.computeIfAbsent(workspace, id -> new HashMap<>());
        ReportedTotal previous = totals.get(host);
        boolean sameProcess = previous != null && previous.incarnation() == incarnation;
        // The first report of a process may cover a long time, so its total is not debited from the current budget.
        double delta = sameProcess ? total - previous.units() : 0;
        totals.put(host, new ReportedTotal(incarnation, total));
        Bucket bucket = buckets.get(workspace);
        if (bucket != null && delta != 0) {
            bucket.tokens = Math.min(bucket.burst, bucket.tokens - delta);
        }
        return delta;
    }

    /**
     * Sets the share of the known hosts that is reachable.
     *
     * @param share reachable hosts, including this one, divided by all known hosts
     */
    public void setReachableShare(double share) {
        reachableShare = Math.max(MIN_REACHABLE_SHARE, Math.min(1, share));
    }

    /**
     * Returns what this host has admitted since its start.
     *
     * @return units for each workspace
     */
    public List<HostReport.WorkspaceTotal> totals() {
        return buckets.entrySet().stream()
                .map(e -> new HostReport.WorkspaceTotal(e.getKey(), e.getValue().admitted))
                .toList();
    }

    private Bucket bucketOf(WorkspaceTerms terms, long nowMillis) {
        Bucket bucket = buckets.get(terms.id());
        double burst = terms.burstUnits() + burstAllowance;
        if (bucket == null) {
            bucket = new Bucket();
            bucket.tokens = startsFull ? burst : terms.burstUnits() / 2;
            bucket.refilledAtMillis = nowMillis;
            buckets.put(terms.id(), bucket);
        }
        bucket.rate = terms.unitsPerSecond() * RATE_TOLERANCE;
        bucket.burst = burst;
        double refill = (nowMillis - bucket.refilledAtMillis) * bucket.rate * reachableShare / MILLIS_PER_SECOND;
        bucket.tokens = Math.min(burst, bucket.tokens + refill);
        bucket.refused = Math.max(0, bucket.refused - refill);
        bucket.refilledAtMillis = nowMillis;
        return bucket;
    }
}
