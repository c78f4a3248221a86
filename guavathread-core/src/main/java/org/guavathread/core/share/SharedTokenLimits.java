package org.guavathread.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.WorkspaceTerms;

/**
 * Distributed rate limit: rate and burst of each workspace over all hosts. Every host keeps a token bucket for the
 * whole fleet and debits what it sends to servers itself and what the others report. Reports carry running totals, so a
 * lost or repeated report does no harm. What is sent before the reports arrive overdraws the bucket, and the excess is
 * refused later.
 *
 * <p>A request holds its charge at its own host from its admission and is debited at all hosts once it is sent to a
 * server. The load that this answers: one workspace at several times its limit in front of a crowded pool, where most
 * requests wait and are refused without having run. Debited on admission, they kept the fleet from admitting what would
 * have run.
 *
 * <p>While some known hosts are unreachable, the bucket is refilled only in proportion to the reachable hosts, because
 * the others may spend the rest. What they report when they return is set off against the refill that was withheld.
 */
public final class SharedTokenLimits {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Factor on the published rate, because the callers' own clocks and counts differ a little from these. */
    private static final double RATE_TOLERANCE = 1.05;

    /** Minimum share of a partitioned group of hosts: callers that can reach it cannot reach the others. */
    private static final double MIN_REACHABLE_SHARE = 0.35;

    /** Fraction of the slack that extends the burst; the rest covers what is admitted before reports arrive. */
    private static final double BURST_FRACTION_OF_SLACK = 0.25;

    /** Fraction of the slack by which requests that waited may overdraw the bucket when they are sent. */
    private static final double OVERDRAFT_FRACTION_OF_SLACK = 0.25;

    /** Maximum time for which refused callers are taken to come back; they wait a third of their time at most. */
    private static final double MAX_RETURN_SECONDS = 4;

    /** Maximum refill that is set off against late reports: that of one limit window. */
    private static final double MAX_WITHHELD_SECONDS = 8;

    /** Share of the bucket below which hosts tell each other sooner than by reports what they send. */
    private static final double SCARCE_SHARE = 0.6;

    /**
     * Fleet size above which hosts tell each other of all that they send: reports take seconds to reach all hosts there,
     * in which each of them would spend a whole bucket.
     */
    private static final int MAX_HOSTS_WITH_REPORTS_ONLY = 30;

    /** Time for which they do so. */
    private static final long SCARCE_MILLIS = 2_000;

    private static final class Bucket {
        private double tokens;
        private double sent;
        private double held;
        private double refused;
        private double withheld;
        private long refilledAtMillis;
        private double rate;
        private double burst;
    }

    private final double burstAllowance;
    private final double overdraft;
    private final boolean startsFull;
    private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
    private final Map<Integer, RunningTotals> others = new HashMap<>();
    private final Map<Integer, Long> heardAtMillis = new HashMap<>();
    private final Map<Integer, Long> scarceUntilMillis = new HashMap<>();
    private double reachableShare = 1;
    private int fleetSize = 1;

    /**
     * Creates the limits.
     *
     * @param slack units that may be admitted beyond rate and burst in a window, over all hosts
     * @param startsFull whether the buckets start full; false after a restart, when earlier requests of the fleet may
     *     have used the burst
     */
    public SharedTokenLimits(double slack, boolean startsFull) {
        this.burstAllowance = slack * BURST_FRACTION_OF_SLACK;
        this.overdraft = slack * OVERDRAFT_FRACTION_OF_SLACK;
        this.startsFull = startsFull;
    }

    /**
     * Admits a request if the workspace has budget left, and holds its charge until {@link #send} or {@link #release}.
     *
     * @param terms the workspace with its limit
     * @param units the charge
     * @param nowMillis the current time
     * @return 0 if the request is admitted, otherwise the milliseconds until the budget suffices for it and for the
     *     refused requests before it that may come back
     */
    public long admit(WorkspaceTerms terms, double units, long nowMillis) {
        if (!terms.isLimited()) {
            return 0;
        }
        Bucket bucket = bucketOf(terms, nowMillis);
        double left = bucket.tokens - bucket.held;
        if (left < bucket.burst * SCARCE_SHARE) {
            scarceUntilMillis.put(hashOf(terms.id()), nowMillis + SCARCE_MILLIS);
        }
        if (left <= 0) {
            // Callers that were refused earlier will retry too, so later ones are told to retry after them.
            long millis = waitMillis(bucket, bucket.refused - left);
            bucket.refused = Math.min(bucket.rate * MAX_RETURN_SECONDS, bucket.refused + units);
            return millis;
        }
        bucket.held += units;
        return 0;
    }

    /**
     * Debits an admitted request that is about to be sent to a server, unless the fleet has used up the budget since.
     *
     * @param terms the workspace with its limit
     * @param units the charge
     * @param nowMillis the current time
     * @return 0 if the request may be sent, otherwise the milliseconds until the budget suffices; its charge stays held
     */
    public long send(WorkspaceTerms terms, double units, long nowMillis) {
        if (!terms.isLimited()) {
            return 0;
        }
        Bucket bucket = bucketOf(terms, nowMillis);
        double left = bucket.tokens + overdraft * shareOfSlack();
        if (left <= 0) {
            return waitMillis(bucket, -left);
        }
        bucket.held = Math.max(0, bucket.held - units);
        bucket.tokens -= units;
        bucket.sent += units;
        if (fleetSize > MAX_HOSTS_WITH_REPORTS_ONLY) {
            scarceUntilMillis.put(hashOf(terms.id()), nowMillis + SCARCE_MILLIS);
        }
        return 0;
    }

    /**
     * Ends the hold on the charge of a request that was not sent.
     *
     * @param workspace the workspace
     * @param units the charge
     */
    public void release(WorkspaceId workspace, double units) {
        Bucket bucket = buckets.get(workspace);
        if (bucket != null) {
            bucket.held = Math.max(0, bucket.held - units);
        }
    }

    /**
     * Refunds the charge of a request that was sent and did not run.
     *
     * @param workspace the workspace
     * @param units the charge
     */
    public void refund(WorkspaceId workspace, double units) {
        Bucket bucket = buckets.get(workspace);
        if (bucket != null) {
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + units);
            bucket.sent -= units;
        }
    }

    /**
     * Applies the running totals in a report of another host.
     *
     * @param process its process, as in {@link org.guavathread.core.gossip.HostHeartbeat}; a later one counts from 0 again
     * @param sequence number of the report
     * @param totals units that it sent to servers since its start, for each workspace
     * @param nowMillis the current time
     * @return units that it sent since its last totals
     */
    public List<HostReport.WorkspaceTotal> applyTotals(
            int process, long sequence, List<HostReport.WorkspaceTotal> totals, long nowMillis) {
        OptionalLong heard = heardAt(process);
        heardAtMillis.put(process, nowMillis);
        return totals.stream()
                .map(t -> new HostReport.WorkspaceTotal(
                        t.workspace(),
                        apply(
                                process,
                                sequence,
                                hashOf(t.workspace()),
                                Optional.ofNullable(buckets.get(t.workspace())),
                                t.units(),
                                heard,
                                nowMillis)))
                .toList();
    }

    /**
     * Applies a notice's total. Processes are known by reports.
     *
     * @param total the total
     * @param nowMillis the current time
     * @return its workspace and the units that the process sent since its last total, if this host limits the workspace
     */
    public Optional<HostReport.WorkspaceTotal> apply(SpendingNotice.Total total, long nowMillis) {
        OptionalLong heard = heardAt(total.process());
        if (heard.isEmpty()) {
            return Optional.empty();
        }
        Optional<WorkspaceId> limited = buckets.keySet().stream()
                .filter(w -> hashOf(w) == total.workspace())
                .findFirst();
        Optional<Bucket> bucket = limited.map(buckets::get);
        double units =
                apply(total.process(), total.sequence(), total.workspace(), bucket, total.units(), heard, nowMillis);
        if (units != 0) {
            scarceUntilMillis.put(total.workspace(), nowMillis + SCARCE_MILLIS);
        }
        return limited.map(w -> new HostReport.WorkspaceTotal(w, units));
    }

    private double apply(
            int process,
            long sequence,
            int workspace,
            Optional<Bucket> limited,
            double total,
            OptionalLong heard,
            long nowMillis) {
        RunningTotals.Change change = others.computeIfAbsent(workspace, hash -> new RunningTotals())
                .apply(process, sequence, total, heard, nowMillis);
        if (limited.isPresent() && change.units() != 0) {
            Bucket bucket = limited.get();
            double setOff = change.wasAway() ? Math.min(bucket.withheld, Math.max(0, change.units())) : 0;
            bucket.withheld -= setOff;
            bucket.tokens = Math.min(bucket.burst, bucket.tokens - change.units() + setOff);
        }
        return change.units();
    }

    private OptionalLong heardAt(int process) {
        Long millis = heardAtMillis.get(process);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    private static int hashOf(WorkspaceId workspace) {
        return workspace.value().hashCode();
    }

    /**
     * Returns totals of workspaces whose limits are nearly used up, to be sent to other hosts between reports. In small
     * fleets, reports tell them soon enough.
     *
     * @param process this host's process
     * @param sequence number of its latest report
     * @param limit maximum number of totals
     * @param nowMillis the current time
     * @return the totals of this host and of others, those that few hosts know first
     */
    public List<SpendingNotice.Total> news(int process, long sequence, int limit, long nowMillis) {
        if (fleetSize <= MAX_HOSTS_WITH_REPORTS_ONLY) {
            return List.of();
        }
        scarceUntilMillis.values().removeIf(until -> until < nowMillis);
        List<SpendingNotice.Total> news = new ArrayList<>();
        buckets.forEach((workspace, bucket) -> {
            if (scarceUntilMillis.containsKey(hashOf(workspace)) && bucket.sent != 0) {
                news.add(new SpendingNotice.Total(process, sequence, hashOf(workspace), Math.round(bucket.sent)));
            }
        });
        scarceUntilMillis.keySet().forEach(workspace -> {
            int share = Math.max(1, limit / scarceUntilMillis.size() - 1);
            news.addAll(others.computeIfAbsent(workspace, hash -> new RunningTotals())
                    .toForward(workspace, share));
        });
        return news.subList(0, Math.min(limit, news.size()));
    }

    /**
     * Forgets processes that have not been heard of for long.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        others.values().forEach(totals -> totals.expire(nowMillis));
        heardAtMillis.values().removeIf(at -> nowMillis - at > FleetView.RETENTION_MILLIS);
    }

    /**
     * Sets how many hosts there are.
     *
     * @param size number of known hosts, including this one
     * @param reachable reachable hosts, including this one, divided by all known hosts
     */
    public void setFleet(int size, double reachable) {
        fleetSize = size;
        reachableShare = Math.max(MIN_REACHABLE_SHARE, Math.min(1, reachable));
    }

    /**
     * Returns what this host has sent to servers since its start.
     *
     * @return units for each workspace
     */
    public List<HostReport.WorkspaceTotal> totals() {
        return buckets.entrySet().stream()
                .map(e -> new HostReport.WorkspaceTotal(e.getKey(), e.getValue().sent))
                .toList();
    }

    /** Returns what other hosts have lately spent beyond the rate of a workspace of which this host had no request. */
    private double overspent(WorkspaceTerms terms, long nowMillis) {
        RunningTotals totals = others.get(hashOf(terms.id()));
        if (totals == null) {
            return 0;
        }
        double spent = totals.recentUnits(nowMillis);
        return Math.max(0, spent - terms.unitsPerSecond() * totals.recentMillis(nowMillis) / MILLIS_PER_SECOND);
    }

    /** Returns the share of the slack that is given to requests; large fleets need the rest for what is not yet heard of. */
    private double shareOfSlack() {
        return Math.min(1, (double) MAX_HOSTS_WITH_REPORTS_ONLY / fleetSize);
    }

    private long waitMillis(Bucket bucket, double missing) {
        return Math.max(1, (long) Math.ceil(missing * MILLIS_PER_SECOND / (bucket.rate * reachableShare)));
    }

    private Bucket bucketOf(WorkspaceTerms terms, long nowMillis) {
        Bucket bucket = buckets.get(terms.id());
        double burst = terms.burstUnits() + burstAllowance * shareOfSlack();
        if (bucket == null) {
            bucket = new Bucket();
            bucket.tokens = startsFull ? burst : terms.burstUnits() / 2;
            bucket.tokens -= overspent(terms, nowMillis);
            bucket.refilledAtMillis = nowMillis;
            buckets.put(terms.id(), bucket);
        }
        bucket.rate = terms.unitsPerSecond() * RATE_TOLERANCE;
        bucket.burst = burst;
        double whole = (nowMillis - bucket.refilledAtMillis) * bucket.rate / MILLIS_PER_SECOND;
        double refill = whole * reachableShare;
        // While all hosts are reachable, what was withheld ends as fast as it grew.
        double withheld = reachableShare < 1 ? bucket.withheld + whole - refill : bucket.withheld - whole;
        bucket.withheld = Math.max(0, Math.min(bucket.rate * MAX_WITHHELD_SECONDS, withheld));
        bucket.tokens = Math.min(burst, bucket.tokens + refill);
        bucket.refused = Math.max(0, bucket.refused - refill);
        bucket.refilledAtMillis = nowMillis;
        return bucket;
    }
}
