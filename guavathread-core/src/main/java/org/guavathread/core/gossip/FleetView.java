package org.guavathread.core.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * One host's view of the fleet's membership, maintained by gossip: hosts periodically forward reports to a few others.
 * A host is reachable while its reports or heartbeats keep arriving, directly or forwarded. No agreement is needed: a
 * host that receives nothing works alone.
 */
public final class FleetView {

    /** Failure detection timeout: a host without a new report for this long, five reports in a row, is unreachable. */
    public static final long REACH_TIMEOUT_MILLIS = 1_300;

    /** Fleet size up to which heartbeats spread within that timeout; for larger fleets it grows in proportion. */
    private static final int HOSTS_PER_REACH_TIMEOUT = 40;

    /** Maximum failure detection timeout, for fleets of any size: callers keep an address for about as long. */
    private static final long MAX_REACH_TIMEOUT_MILLIS = 8_000;

    /**
     * Maximum time since the last sign of life of a host that is named to callers. Its last one may take seconds to arrive
     * over several hosts, and callers must not be sent to a host that ended 6 s ago.
     */
    private static final long MAX_NAMED_SILENCE_MILLIS = 3_500;

    /** Maximum time for which a sign of life is passed on, so that those of ended hosts do not go round for long. */
    private static final long MAX_FORWARDED_AGE_MILLIS = 1_000;

    /** Maximum factor on the report interval: load that is reported later is of no use for placement. */
    private static final long MAX_INTERVAL_FACTOR = 3;

    /** Minimum time between two full synchronisations; the response of a fleet of 410 hosts has about 60 KB. */
    private static final long SYNC_INTERVAL_MILLIS = 2_500;

    /** Time for which an unreachable host is kept and still receives gossip: longer than a partition or a reboot. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Time for which an unreachable host may still be spending shared budgets: two limit windows. */
    private static final long BUDGET_SPENDING_MILLIS = 15_000;

    /** Time for which a reported queue rank is valid: queued requests are on time for less than half a second. */
    private static final long RANK_VALIDITY_MILLIS = 400;

    /** Time for which a report that a backend server is unreachable is valid: a few report intervals. */
    private static final long UNREACHABLE_VALIDITY_MILLIS = 1_500;

    private static final double MAJORITY = 0.5;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * Number of receivers of one report. With forwarding, changes spread over some 100 hosts within seconds; in larger
     * fleets {@link #nextSyncSource} fills the gaps.
     */
    public static final int FAN_OUT = 4;

    /** The latest report and heartbeat of a host, and how often each was forwarded. */
    private static final class Member {
        private HostReport report;
        private long reportedAtMillis;
        private long sequence;
        private long lastSeenMillis;
        private int timesReportForwarded;
        private int timesHeartbeatForwarded;

        /** Time of its last own report or later heartbeat; what others report of it may be old. */
        private long aliveAtMillis = NEVER;

        private Member(HostReport report, long lastSeenMillis) {
            this.report = report;
            this.sequence = report.sequence();
            this.reportedAtMillis = lastSeenMillis;
            this.lastSeenMillis = lastSeenMillis;
        }

        /**
         * Applies a later report of the same process; a heartbeat with a higher sequence number may have preceded it.
         */
        private void replace(HostReport later, long nowMillis) {
            boolean isLatest = later.sequence() > sequence;
            report = isLatest ? later : later.withPhase(report.phase());
            reportedAtMillis = nowMillis;
            timesReportForwarded = 0;
            if (isLatest) {
                alive(later.sequence(), nowMillis);
            }
        }

        private int process() {
            return HostHeartbeat.processOf(report.host(), report.incarnation());
        }

        private HostHeartbeat heartbeat() {
            return new HostHeartbeat(process(), sequence, report.phase());
        }

        private void alive(long later, long nowMillis) {
            timesHeartbeatForwarded = 0;
            sequence = later;
            lastSeenMillis = nowMillis;
        }

        private HostReport report() {
            return report;
        }

        private long lastSeenMillis() {
            return lastSeenMillis;
        }
    }

    private final HostId self;
    private final int ownProcess;
    private final List<SocketAddressText> seeds;
    private final RandomGenerator random;
    private final Map<HostId, Member> members = new HashMap<>();
    private final Map<Integer, Member> byProcess = new HashMap<>();
    private long nextSyncMillis;

    /** The answer of {@link #reachableHosts} for a time; null once a host was heard or dropped since. */
    private List<HostReport> reachable;

    private long reachableAtMillis;

    /** Sender of a heartbeat of an unknown process, until {@link #nextSyncSource} considers it; null if none. */
    private HostId hostWithUnknownProcess;

    /**
     * Creates a view.
     *
     * @param self this host
     * @param incarnation start time of its process
     * @param seeds bootstrap addresses of other hosts; any of them may be out of date
     * @param random source of random numbers
     */
    public FleetView(HostId self, long incarnation, List<SocketAddressText> seeds, RandomGenerator random) {
        this.self = self;
        this.ownProcess = HostHeartbeat.processOf(self, incarnation);
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /**
     * Applies a report that its host has sent to this one.
     *
     * @param report the report
     * @param nowMillis the current time
     * @return true if it is newer than the known one
     */
    public boolean apply(HostReport report, long nowMillis) {
        boolean isNews = applyForwarded(report, nowMillis);
        if (isNews) {
            members.get(report.host()).aliveAtMillis = nowMillis;
        }
        return isNews;
    }

    /**
     * Applies a report that another host has passed on. Its host may have ended meanwhile.
     *
     * @param report a host's report about itself
     * @param nowMillis the current time
     * @return true if it is newer than the known one
     */
    public boolean applyForwarded(HostReport report, long nowMillis) {
        if (report.host().equals(self)) {
            return false;
        }
        reachable = null;
        Member member = members.get(report.host());
        if (member != null && !report.isNewerThan(member.report()) && !replacesSilent(report, member, nowMillis)) {
            return false;
        }
        if (member != null && member.report().incarnation() == report.incarnation()) {
            member.replace(report, nowMillis);
        } else {
            Member next = new Member(report, nowMillis);
            members.put(report.host(), next);
            byProcess.put(next.process(), next);
        }
        return true;
    }

    /**
     * Tells whether a report comes from a later process in spite of its earlier start time: the time of day may have been
     * set back before that process started. Reports of an ended process are not forwarded for as long.
     */
    private boolean replacesSilent(HostReport report, Member member, long nowMillis) {
        return report.incarnation() < member.report().incarnation()
                && nowMillis - member.lastSeenMillis() > reachTimeoutMillis();
    }

    /**
     * Applies a heartbeat. One of an unknown host or process does not identify it, but the sender has its report.
     *
     * @param heartbeat the heartbeat, possibly forwarded
     * @param sender the host that sent or forwarded it
     * @param nowMillis the current time
     */
    public void apply(HostHeartbeat heartbeat, HostId sender, long nowMillis) {
        if (heartbeat.process() == ownProcess) {
            return;
        }
        Member member = byProcess.get(heartbeat.process());
        if (member == null) {
            hostWithUnknownProcess = sender;
            return;
        }
        if (heartbeat.sequence() <= member.sequence) {
            return;
        }
        reachable = null;
        member.alive(heartbeat.sequence(), nowMillis);
        member.aliveAtMillis = nowMillis;
        if (member.report().phase() != heartbeat.phase()) {
            member.report = member.report().withPhase(heartbeat.phase());
        }
    }

    /**
     * Returns heartbeats to forward, and counts them as forwarded.
     *
     * @param limit maximum number of heartbeats
     * @param nowMillis the current time
     * @return heartbeats of reachable hosts, least often forwarded first
     */
    public List<HostHeartbeat> heartbeatsToForward(int limit, long nowMillis) {
        List<Member> alive = new ArrayList<>(members.values());
        alive.removeIf(k -> nowMillis - k.aliveAtMillis > MAX_FORWARDED_AGE_MILLIS);
        Collections.shuffle(alive, new java.util.Random(random.nextLong()));
        alive.sort(Comparator.comparingInt(k -> k.timesHeartbeatForwarded));
        List<Member> chosen = alive.subList(0, Math.min(limit, alive.size()));
        chosen.forEach(k -> k.timesHeartbeatForwarded++);
        return chosen.stream().map(Member::heartbeat).toList();
    }

    /**
     * Removes hosts that have been unreachable for {@link #RETENTION_MILLIS}.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        reachable = null;
        members.values().removeIf(k -> nowMillis - k.lastSeenMillis() > RETENTION_MILLIS);
        // Ended processes are kept for the same time, so that their late heartbeats do not count as unknown.
        byProcess.values().removeIf(k -> nowMillis - k.lastSeenMillis() > RETENTION_MILLIS);
    }

    /**
     * Picks the receivers of the next report.
     *
     * @param own this host's address for other hosts
     * @return addresses of a few known hosts and of one seed; all seeds while no host is known
     */
    public List<SocketAddressText> receivers(SocketAddressText own) {
        List<SocketAddressText> peers = new ArrayList<>();
        members.values().forEach(k -> peers.add(k.report().peers()));
        Collections.shuffle(peers, new java.util.Random(random.nextLong()));
        Set<SocketAddressText> chosen = new LinkedHashSet<>(peers.subList(0, Math.min(FAN_OUT, peers.size())));
        if (!seeds.isEmpty()) {
            // One seed in each round merges groups that were partitioned; it costs one packet.
            chosen.add(seeds.get(random.nextInt(seeds.size())));
        }
        if (members.isEmpty()) {
            chosen.addAll(seeds);
        }
        chosen.remove(own);
        return List.copyOf(chosen);
    }

    /**
     * Picks a host whose view is larger than this one's, as after a start. All of its reports are requested then, since
     * learning them from the few that fit into a datagram would take minutes in a fleet of hundreds.
     *
     * @param nowMillis the current time
     * @return the host to synchronise with, or empty if no view is larger or a synchronisation was recent
     */
    public Optional<HostReport> nextSyncSource(long nowMillis) {
        if (nowMillis < nextSyncMillis) {
            return Optional.empty();
        }
        List<HostReport> others = reachableHosts(nowMillis);
        List<HostReport> ahead = others.stream()
                .filter(r -> r.withinReach() > others.size() + 1 || r.host().equals(hostWithUnknownProcess))
                .toList();
        hostWithUnknownProcess = null;
        if (ahead.isEmpty()) {
            return Optional.empty();
        }
        nextSyncMillis = nowMillis + SYNC_INTERVAL_MILLIS + random.nextInt((int) SYNC_INTERVAL_MILLIS);
        // A random one, so that many hosts that start together do not all ask the same host.
        return Optional.of(ahead.get(random.nextInt(ahead.size())));
    }

    /**
     * Returns the reachable hosts, except this one.
     *
     * @param nowMillis the current time
     * @return their latest reports
     */
    public List<HostReport> reachableHosts(long nowMillis) {
        if (reachable == null || reachableAtMillis != nowMillis) {
            long timeoutMillis = reachTimeoutMillis();
            List<HostReport> found = new ArrayList<>(members.size());
            for (Member each : members.values()) {
                if (nowMillis - each.lastSeenMillis() <= timeoutMillis) {
                    found.add(each.report());
                }
            }
            reachable = Collections.unmodifiableList(found);
            reachableAtMillis = nowMillis;
        }
        return reachable;
    }

    private long reachTimeoutMillis() {
        return Math.min(MAX_REACH_TIMEOUT_MILLIS, inProportion(REACH_TIMEOUT_MILLIS));
    }

    /**
     * Returns the time between two reports. In large fleets it grows with the number of hosts, but half as fast as the
     * failure detection timeout, since news take more rounds there.
     *
     * @param smallFleetMillis the time in a fleet of up to 40 hosts
     * @return milliseconds
     */
    public long reportIntervalMillis(long smallFleetMillis) {
        long millis = (smallFleetMillis + inProportion(smallFleetMillis)) / 2;
        return Math.min(MAX_INTERVAL_FACTOR * smallFleetMillis, millis);
    }

    private long inProportion(long smallFleetMillis) {
        return smallFleetMillis * Math.max(HOSTS_PER_REACH_TIMEOUT, members.size()) / HOSTS_PER_REACH_TIMEOUT;
    }

    /**
     * Returns reports to forward, least often forwarded first, since those are unknown to most hosts.
     *
     * @param limit maximum number of reports
     * @param nowMillis the current time
     * @return reports of reachable hosts, in random order among those forwarded equally often
     */
    public List<HostReport> reportsToForward(int limit, long nowMillis) {
        List<Member> candidates = new ArrayList<>(members.values());
        candidates.removeIf(k -> nowMillis - k.lastSeenMillis() > reachTimeoutMillis());
        Collections.shuffle(candidates, new java.util.Random(random.nextLong()));
        candidates.sort(Comparator.comparingInt(k -> k.timesReportForwarded));
        return candidates.subList(0, Math.min(limit, candidates.size())).stream()
                .map(Member::report)
                .toList();
    }

    /**
     * Counts reports as forwarded.
     *
     * @param reports the reports that fitted into the datagram
     */
    public void markForwarded(List<HostReport> reports) {
        reports.forEach(r -> members.get(r.host()).timesReportForwarded++);
    }

    /**
     * Returns the hosts, other than this one, to which callers may connect. Hosts that are cut off from servers are among
     * them only if no host is known that is not.
     *
     * @param isCutOff whether this host is cut off itself
     * @param nowMillis the current time
     * @return the latest reports of ready reachable hosts
     */
    public List<HostReport> hostsForCallers(boolean isCutOff, long nowMillis) {
        List<HostReport> ready = new ArrayList<>(hostsSeenAlive(nowMillis));
        ready.removeIf(r -> !r.phase().takesCallers());
        if (!isCutOff || anyReachesServers(nowMillis)) {
            ready.removeIf(HostReport::isCutOff);
        }
        return ready;
    }

    /** Returns the hosts that have lately been seen alive; none of them may be known to a host that has just started. */
    private List<HostReport> hostsSeenAlive(long nowMillis) {
        long maxSilenceMillis = Math.min(reachTimeoutMillis(), MAX_NAMED_SILENCE_MILLIS);
        List<HostReport> alive = members.values().stream()
                .filter(k -> nowMillis - k.aliveAtMillis <= maxSilenceMillis)
                .map(Member::report)
                .toList();
        return alive.isEmpty() ? reachableHosts(nowMillis) : alive;
    }

    /**
     * Tells whether another host serves callers and reaches the servers.
     *
     * @param nowMillis the current time
     * @return true if a ready reachable host is not cut off
     */
    public boolean anyReachesServers(long nowMillis) {
        return reachableHosts(nowMillis).stream().anyMatch(r -> r.phase().takesCallers() && !r.isCutOff());
    }

    /**
     * Tells whether the fleet can do without one more host for a while. The load that this answers: most hosts have ended at
     * once, and the few that serve again get the callers of all while the others prepare.
     *
     * @param nowMillis the current time
     * @return true if at least half of the other hosts that serve or start to do so are serving
     */
    public boolean mostServe(long nowMillis) {
        List<HostReport> staying = reachableHosts(nowMillis).stream()
                .filter(r -> r.phase() != HostPhase.LEAVING)
                .toList();
        long serving = staying.stream()
                .filter(r -> r.phase().takesCallers() && !r.isCutOff())
                .count();
        return serving > 0 && serving >= MAJORITY * staying.size();
    }

    /**
     * Returns the reachable share of the hosts that may be spending shared budgets.
     *
     * @param nowMillis the current time
     * @return more than 0, at most 1
     */
    public double reachableShare(long nowMillis) {
        return reachableShare(nowMillis, BUDGET_SPENDING_MILLIS);
    }

    /** Returns the reachable share of the hosts that were seen within a time and have not announced their stop. */
    private double reachableShare(long nowMillis, long seenWithinMillis) {
        double known = 1;
        double reachable = 1;
        for (Member member : members.values()) {
            long silentMillis = nowMillis - member.lastSeenMillis();
            if (member.report().phase() != HostPhase.LEAVING && silentMillis <= seenWithinMillis) {
                known++;
                reachable += silentMillis <= reachTimeoutMillis() ? 1 : 0;
            }
        }
        return reachable / known;
    }

    /**
     * Tells whether this host is the leader: the one with the lowest name among the ready reachable hosts. A host that
     * reaches no other host, or no majority of the known hosts, is not the leader.
     *
     * @param nowMillis the current time
     * @return true if this host may act for the fleet
     */
    public boolean isLeader(long nowMillis) {
        List<HostReport> others = reachableHosts(nowMillis);
        // However long a host has been silent, it may be in the other half of a partition.
        return !others.isEmpty()
                && reachableShare(nowMillis, RETENTION_MILLIS) > MAJORITY
                && others.stream()
                        .filter(r -> r.phase().takesCallers())
                        .allMatch(r -> self.value().compareTo(r.host().value()) < 0);
    }

    /**
     * Returns the number of known hosts, including this one.
     *
     * @return number of hosts
     */
    public int size() {
        return members.size() + 1;
    }

    /**
     * Finds the reachable host that knows most of the published state that this host does not know. The version of the
     * configuration counts first, since a store that came back from an older copy may not have it.
     *
     * @param applied the store's position that this host has applied
     * @param configuration version of the configuration in force at this host
     * @param nowMillis the current time
     * @return the report of that host, or empty if no host has a later position or a later configuration
     */
    public Optional<HostReport> mostRecentState(StorePosition applied, long configuration, long nowMillis) {
        return reachableHosts(nowMillis).stream()
                .filter(r -> r.store().isAfter(applied) || r.configuration() > configuration)
                .max(Comparator.comparingLong(HostReport::configuration).thenComparing(HostReport::store));
    }

    /**
     * Picks a reachable host that serves callers, and so has the published state.
     *
     * @param nowMillis the current time
     * @return a random one, or empty if there is none
     */
    public Optional<HostReport> anyServingHost(long nowMillis) {
        List<HostReport> serving = new ArrayList<>(reachableHosts(nowMillis));
        serving.removeIf(r -> !r.phase().takesCallers());
        return serving.isEmpty() ? Optional.empty() : Optional.of(serving.get(random.nextInt(serving.size())));
    }

    /**
     * Returns the addresses at which a host that starts may find the published state.
     *
     * @param nowMillis the current time
     * @return the seeds, which may include this host, and the reachable hosts that serve callers
     */
    public Set<SocketAddressText> stateSources(long nowMillis) {
        Set<SocketAddressText> sources = new LinkedHashSet<>(seeds);
        reachableHosts(nowMillis).stream().filter(r -> r.phase().takesCallers()).forEach(r -> sources.add(r.peers()));
        return sources;
    }

    /**
     * Tells whether other hosts have queued requests.
     *
     * @param nowMillis the current time
     * @return true if a reachable host reports queued requests
     */
    public boolean othersWait(long nowMillis) {
        return reachableHosts(nowMillis).stream().anyMatch(r -> r.waiting() > 0);
    }

    /**
     * Returns the best rank of the requests that are queued at other hosts.
     *
     * @param nowMillis the current time
     * @return the rank, by reports that are recent enough
     */
    public WaitingRank bestWaitingElsewhere(long nowMillis) {
        return members.values().stream()
                .filter(k -> nowMillis - k.reportedAtMillis <= RANK_VALIDITY_MILLIS)
                .map(k -> k.report().best())
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Returns the requests of the other hosts by priority.
     *
     * @param nowMillis the current time
     * @return loads of the reachable hosts; without what waited if that is too long ago
     */
    public List<HostReport.PriorityLoad> prioritiesElsewhere(long nowMillis) {
        List<HostReport.PriorityLoad> loads = new ArrayList<>();
        for (HostReport report : reachableHosts(nowMillis)) {
            boolean isRecent = nowMillis - members.get(report.host()).reportedAtMillis <= RANK_VALIDITY_MILLIS;
            report.priorities().forEach(load -> loads.add(isRecent ? load : load.withoutWaiting()));
        }
        return loads;
    }

    /**
     * Sums the load of the other hosts on each backend server.
     *
     * @param nowMillis the current time
     * @return prompt and held tokens for each server on which other hosts have requests
     */
    public Map<BackendServerId, HostReport.ServerLoad> loadOfOthers(long nowMillis) {
        Map<BackendServerId, HostReport.ServerLoad> sums = new HashMap<>();
        Collection<HostReport> reports = reachableHosts(nowMillis);
        for (HostReport report : reports) {
            for (HostReport.ServerLoad load : report.load()) {
                sums.merge(
                        load.server(),
                        load,
                        (a, b) -> new HostReport.ServerLoad(
                                a.server(), a.promptTokens() + b.promptTokens(), a.heldTokens() + b.heldTokens()));
            }
        }
        return sums;
    }

    /**
     * Returns the backend servers to which other hosts cannot connect.
     *
     * @param nowMillis the current time
     * @return ids of the servers, by reports that are recent enough
     */
    public Set<BackendServerId> unreachableForOthers(long nowMillis) {
        Set<BackendServerId> servers = new HashSet<>();
        members.values().stream()
                .filter(k -> nowMillis - k.reportedAtMillis <= UNREACHABLE_VALIDITY_MILLIS)
                .forEach(k -> servers.addAll(k.report().unreachable()));
        return servers;
    }
}
