package org.guavathread.core.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.WorkspaceTerms;

/**
 * Rate and burst of each workspace over all hosts. Every host keeps the whole fleet's bucket and takes from it what it
 * admits itself and what the others report. Reports are running totals, so a lost or repeated report changes nothing.
 * What is admitted before a report arrives makes the bucket negative, and the excess is refused later.
 *
 * <p>While some known hosts are out of reach, the bucket is refilled only with the share of those that are within reach:
 * the others may spend the rest.
 */
public final class SharedTokenLimits {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Admits slightly more than the published rate, since the callers' own clocks and counts differ a little. */
    private static final double RATE_MARGIN = 1.05;

    /** A group of hosts that is cut off keeps at least this share: callers that reach it cannot reach the rest. */
    private static final double MIN_REACHABLE_SHARE = 0.35;

    /** Part of the slack used as burst; the rest covers what is admitted before the hosts' reports arrive. */
    private static final double SLACK_AS_BURST = 0.25;

    private static final class Bucket {
        private double level;
        private double admitted;
        private double turnedAway;
        private long filledAtMillis;
        private double rate;
        private double burst;
    }

    private final double burstAllowance;
    private final boolean startsFull;
    private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
    private final Map<WorkspaceId, Map<HostId, Total>> reported = new HashMap<>();
    private double reachableShare = 1;

    private record Total(long incarnation, double units) {}

    /**
     * Builds the limits.
     *
     * @param slack units that may be admitted beyond rate and burst in a window, over all hosts
     * @param startsFull whether the whole burst is unused at the start; false after a restart, when earlier requests
     *     of this fleet may have used it
     */
    public SharedTokenLimits(double slack, boolean startsFull) {
        this.burstAllowance = slack * SLACK_AS_BURST;
        this.startsFull = startsFull;
    }

    /**
     * Charges a request if the workspace has budget left.
     *
     * @param terms the workspace with its limit
     * @param units the charge
     * @param nowMillis the current time
     * @return 0 if the request is admitted, otherwise the milliseconds until the budget has room for it and for those that
     *     were turned away before
     */
    public long admit(WorkspaceTerms terms, double units, long nowMillis) {
        if (!terms.isLimited()) {
            return 0;
        }
        Bucket bucket = bucketOf(terms, nowMillis);
        if (bucket.level <= 0) {
            // Callers that were turned away before return as well; who comes later is asked to return after them.
            double perMilli = bucket.rate * reachableShare / MILLIS_PER_SECOND;
            long millis = (long) Math.ceil((bucket.turnedAway - bucket.level) / perMilli);
            bucket.turnedAway += units;
            return Math.max(1, millis);
        }
        bucket.level -= units;
        bucket.admitted += units;
        return 0;
    }

    /**
     * Gives a charge back, because the request did not run.
     *
     * @param workspace the workspace
     * @param units the charge
     */
    public void giveBack(WorkspaceId workspace, double units) {
        Bucket bucket = buckets.get(workspace);
        if (bucket != null) {
            bucket.level = Math.min(bucket.burst, bucket.level + units);
            bucket.admitted -= units;
        }
    }

    /**
     * Takes another host's running total.
     *
     * @param host the host
     * @param incarnation start time of its process; a later process counts from 0 again
     * @param workspace the workspace
     * @param total units that it admitted since its start
     * @return units that it admitted since its last report
     */
    public double report(HostId host, long incarnation, WorkspaceId workspace, double total) {
        Map<HostId, Total> totals = reported.computeIfAbsent(workspace, id -> new HashMap<>());
        Total before = totals.get(host);
        if (before != null && before.incarnation() > incarnation) {
            return 0;
        }
        boolean sameProcess = before != null && before.incarnation() == incarnation;
        // A first report may cover a long time; what it says about the past is not taken from today's budget.
        double news = sameProcess ? total - before.units() : 0;
        totals.put(host, new Total(incarnation, total));
        Bucket bucket = buckets.get(workspace);
        if (bucket != null && news != 0) {
            bucket.level = Math.min(bucket.burst, bucket.level - news);
        }
        return news;
    }

    /**
     * Notes which part of the known hosts is within reach.
     *
     * @param share hosts within reach, this one included, divided by all known hosts
     */
    public void reachable(double share) {
        reachableShare = Math.max(MIN_REACHABLE_SHARE, Math.min(1, share));
    }

    /**
     * Gives what this host admitted since its start.
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
            bucket.level = startsFull ? burst : terms.burstUnits() / 2;
            bucket.filledAtMillis = nowMillis;
            buckets.put(terms.id(), bucket);
        }
        bucket.rate = terms.unitsPerSecond() * RATE_MARGIN;
        bucket.burst = burst;
        double refill = (nowMillis - bucket.filledAtMillis) * bucket.rate * reachableShare / MILLIS_PER_SECOND;
        bucket.level = Math.min(burst, bucket.level + refill);
        bucket.turnedAway = Math.max(0, bucket.turnedAway - refill);
        bucket.filledAtMillis = nowMillis;
        return bucket;
    }
}
