package org.guavathread.core.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * One host's view of the fleet, from reports that hosts pass on to a few others at regular times. A host is within
 * reach while its reports keep arriving, directly or through others. Nothing has to agree: a host that hears nobody
 * works alone.
 */
public final class FleetView {

    /** A host is taken as out of reach after this time without a new report: five reports lost in a row. */
    public static final long REACH_MILLIS = 1_300;

    /** Hosts whose signs of life all arrive within that time; in larger fleets they travel longer, in proportion. */
    private static final int HOSTS_PER_REACH = 40;

    /** Longest time without a sign of life, in fleets of any size: callers keep an address for about as long. */
    private static final long MAX_REACH_MILLIS = 8_000;

    /** Shortest time between two questions for all reports; an answer of 410 hosts has about 60 KB. */
    private static final long ASK_EVERY_MILLIS = 2_500;

    /** A host out of reach is remembered, and still told the news, for this long: longer than a cut or a reboot lasts. */
    public static final long REMEMBER_MILLIS = 60_000;

    /** A host out of reach counts as one that may still spend shared budgets for this long: two limit windows. */
    private static final long SPENDING_MILLIS = 15_000;

    /** A report tells which requests wait now for this long: they are on time for less than half a second. */
    private static final long FRESH_MILLIS = 400;

    private static final double MAJORITY = 0.5;

    /**
     * Receivers of one report. With the reports that each of them passes on this spreads changes among some 100 hosts
     * within seconds; {@link #behind} fills the gaps in larger fleets.
     */
    public static final int FAN_OUT = 4;

    /** The latest report of a host, its latest sign of life, and how often each was passed on. */
    private static final class Known {
        private HostReport report;
        private long reportedAtMillis;
        private long sequence;
        private long heardAtMillis;
        private int passes;
        private int signPasses;

        private Known(HostReport report, long heardAtMillis) {
            this.report = report;
            this.sequence = report.sequence();
            this.reportedAtMillis = heardAtMillis;
            this.heardAtMillis = heardAtMillis;
        }

        /** Takes a later report of the same process; a sign of life may have been ahead of it. */
        private void replace(HostReport later, long nowMillis) {
            boolean isLatest = later.sequence() > sequence;
            report = isLatest ? later : later.withPhase(report.phase());
            reportedAtMillis = nowMillis;
            passes = 0;
            if (isLatest) {
                alive(later.sequence(), nowMillis);
            }
        }

        private int process() {
            return HostSign.processOf(report.host(), report.incarnation());
        }

        private HostSign sign() {
            return new HostSign(process(), sequence, report.phase());
        }

        private void alive(long later, long nowMillis) {
            signPasses = 0;
            sequence = later;
            heardAtMillis = nowMillis;
        }

        private HostReport report() {
            return report;
        }

        private long heardAtMillis() {
            return heardAtMillis;
        }
    }

    private final HostId self;
    private final int ownProcess;
    private final List<SocketAddressText> seeds;
    private final RandomGenerator random;
    private final Map<HostId, Known> known = new HashMap<>();
    private final Map<Integer, Known> byProcess = new HashMap<>();
    private long askAgainAtMillis;

    /** Host that told of one that is not known here; null if none did. */
    private HostId knowsMore;

    /**
     * Builds a view.
     *
     * @param self this host
     * @param incarnation start time of its process
     * @param seeds addresses at which other hosts may be found; any of them may be out of date
     * @param random source of random numbers
     */
    public FleetView(HostId self, long incarnation, List<SocketAddressText> seeds, RandomGenerator random) {
        this.self = self;
        this.ownProcess = HostSign.processOf(self, incarnation);
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /**
     * Takes a report.
     *
     * @param report a host's report about itself, directly or passed on
     * @param nowMillis the current time
     * @return true if it is news
     */
    public boolean hear(HostReport report, long nowMillis) {
        if (report.host().equals(self)) {
            return false;
        }
        Known before = known.get(report.host());
        if (before != null && !report.isNewerThan(before.report())) {
            return false;
        }
        if (before != null && before.report().incarnation() == report.incarnation()) {
            before.replace(report, nowMillis);
        } else {
            Known next = new Known(report, nowMillis);
            known.put(report.host(), next);
            byProcess.put(next.process(), next);
        }
        return true;
    }

    /**
     * Takes a sign of life. One of a host or process that is not known says too little; the sender has its report.
     *
     * @param sign what another host heard
     * @param sender the other host
     * @param nowMillis the current time
     */
    public void hear(HostSign sign, HostId sender, long nowMillis) {
        if (sign.process() == ownProcess) {
            return;
        }
        Known before = byProcess.get(sign.process());
        if (before == null) {
            knowsMore = sender;
            return;
        }
        if (sign.sequence() <= before.sequence) {
            return;
        }
        before.alive(sign.sequence(), nowMillis);
        if (before.report().phase() != sign.phase()) {
            before.report = before.report().withPhase(sign.phase());
        }
    }

    /**
     * Gives signs of life for passing on.
     *
     * @param limit greatest number of signs
     * @param nowMillis the current time
     * @return signs of hosts within reach, those first that were passed on least often
     */
    public List<HostSign> signs(int limit, long nowMillis) {
        List<Known> alive = new ArrayList<>(known.values());
        alive.removeIf(k -> nowMillis - k.heardAtMillis() > reachMillis());
        Collections.shuffle(alive, new java.util.Random(random.nextLong()));
        alive.sort(Comparator.comparingInt(k -> k.signPasses));
        List<Known> chosen = alive.subList(0, Math.min(limit, alive.size()));
        chosen.forEach(k -> k.signPasses++);
        return chosen.stream().map(Known::sign).toList();
    }

    /**
     * Forgets hosts that have been out of reach for long.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        known.values().removeIf(k -> nowMillis - k.heardAtMillis() > REMEMBER_MILLIS);
        // Processes that ended stay here for a while, so that late signs of them are no news.
        byProcess.values().removeIf(k -> nowMillis - k.heardAtMillis() > REMEMBER_MILLIS);
    }

    /**
     * Picks the receivers of the next report.
     *
     * @param own where this host listens
     * @return a few addresses of known hosts and, until one answers, of seeds
     */
    public List<SocketAddressText> receivers(SocketAddressText own) {
        List<SocketAddressText> peers = new ArrayList<>();
        known.values().forEach(k -> peers.add(k.report().peers()));
        Collections.shuffle(peers, new java.util.Random(random.nextLong()));
        Set<SocketAddressText> chosen = new LinkedHashSet<>(peers.subList(0, Math.min(FAN_OUT, peers.size())));
        if (!seeds.isEmpty()) {
            // A seed each round joins groups that grew apart; it costs one packet.
            chosen.add(seeds.get(random.nextInt(seeds.size())));
        }
        if (known.isEmpty()) {
            chosen.addAll(seeds);
        }
        chosen.remove(own);
        return List.copyOf(chosen);
    }

    /**
     * Finds a host whose view is larger than this one's, as after a start. All of its reports are asked for then, since
     * the few that fit into a datagram would take minutes in a fleet of hundreds.
     *
     * @param nowMillis the current time
     * @return the host to ask now, or empty if none is ahead or another one was asked just before
     */
    public Optional<HostReport> behind(long nowMillis) {
        if (nowMillis < askAgainAtMillis) {
            return Optional.empty();
        }
        List<HostReport> others = withinReach(nowMillis);
        List<HostReport> ahead = others.stream()
                .filter(r -> r.withinReach() > others.size() + 1 || r.host().equals(knowsMore))
                .toList();
        knowsMore = null;
        if (ahead.isEmpty()) {
            return Optional.empty();
        }
        askAgainAtMillis = nowMillis + ASK_EVERY_MILLIS + random.nextInt((int) ASK_EVERY_MILLIS);
        // Any of them, so that the questions of many hosts that start together do not all reach one host.
        return Optional.of(ahead.get(random.nextInt(ahead.size())));
    }

    /**
     * Gives the hosts within reach, except this one.
     *
     * @param nowMillis the current time
     * @return their latest reports
     */
    public List<HostReport> withinReach(long nowMillis) {
        return known.values().stream()
                .filter(k -> nowMillis - k.heardAtMillis() <= reachMillis())
                .map(Known::report)
                .toList();
    }

    private long reachMillis() {
        long millis = REACH_MILLIS * Math.max(HOSTS_PER_REACH, known.size()) / HOSTS_PER_REACH;
        return Math.min(MAX_REACH_MILLIS, millis);
    }

    /**
     * Gives reports for passing on: those first that were passed on least often, since they are news to most hosts.
     *
     * @param limit greatest number of reports
     * @param nowMillis the current time
     * @return reports of hosts within reach, in random order among those passed on equally often
     */
    public List<HostReport> toPassOn(int limit, long nowMillis) {
        List<Known> news = new ArrayList<>(known.values());
        news.removeIf(k -> nowMillis - k.heardAtMillis() > reachMillis());
        Collections.shuffle(news, new java.util.Random(random.nextLong()));
        news.sort(Comparator.comparingInt(k -> k.passes));
        return news.subList(0, Math.min(limit, news.size())).stream()
                .map(Known::report)
                .toList();
    }

    /**
     * Notes that reports were passed on.
     *
     * @param reports reports that fitted into a datagram
     */
    public void passedOn(List<HostReport> reports) {
        reports.forEach(r -> known.get(r.host()).passes++);
    }

    /**
     * Gives where callers may connect, besides this host.
     *
     * @param dataCentre the caller's data centre
     * @param nowMillis the current time
     * @return addresses, those of the caller's data centre first
     */
    public List<SocketAddressText> callerAddresses(DataCentreId dataCentre, long nowMillis) {
        List<HostReport> ready = new ArrayList<>(withinReach(nowMillis));
        ready.removeIf(r -> !r.phase().takesCallers());
        ready.sort((a, b) -> Boolean.compare(
                !a.dataCentre().equals(dataCentre), !b.dataCentre().equals(dataCentre)));
        return ready.stream().map(HostReport::callers).toList();
    }

    /**
     * Gives the share of hosts within reach among those that may spend shared budgets.
     *
     * @param nowMillis the current time
     * @return more than 0, at most 1
     */
    public double reachableShare(long nowMillis) {
        long spending = known.values().stream()
                .filter(k -> nowMillis - k.heardAtMillis() <= SPENDING_MILLIS
                        && k.report().phase() != HostPhase.LEAVING)
                .count();
        long reachable = withinReach(nowMillis).stream()
                .filter(r -> r.phase() != HostPhase.LEAVING)
                .count();
        return (reachable + 1.0) / (spending + 1.0);
    }

    /**
     * Tells whether this host is the first by name among the ready hosts within reach. A host that reaches nobody, or
     * fewer than half of the hosts that it knows, is not.
     *
     * @param nowMillis the current time
     * @return true if it may act for the fleet
     */
    public boolean isFirst(long nowMillis) {
        List<HostReport> others = withinReach(nowMillis);
        return !others.isEmpty()
                && reachableShare(nowMillis) > MAJORITY
                && others.stream()
                        .filter(r -> r.phase().takesCallers())
                        .allMatch(r -> self.value().compareTo(r.host().value()) < 0);
    }

    /**
     * Counts all known hosts, this one included.
     *
     * @return their number
     */
    public int size() {
        return known.size() + 1;
    }

    /**
     * Finds a host within reach that has applied a newer state.
     *
     * @param revision the revision that this host has applied
     * @param nowMillis the current time
     * @return the report of the host that is furthest ahead
     */
    public Optional<HostReport> ahead(long revision, long nowMillis) {
        return withinReach(nowMillis).stream()
                .filter(r -> r.storeRevision() > revision)
                .max((a, b) -> Long.compare(a.storeRevision(), b.storeRevision()));
    }

    /**
     * Tells whether requests of other hosts wait for room.
     *
     * @param nowMillis the current time
     * @return true if a host within reach reports waiting requests
     */
    public boolean othersWait(long nowMillis) {
        return withinReach(nowMillis).stream().anyMatch(r -> r.waiting() > 0);
    }

    /**
     * Gives the rank of the best request that waits for room at another host.
     *
     * @param nowMillis the current time
     * @return the rank by the hosts' fresh reports
     */
    public WaitingRank bestWaitingElsewhere(long nowMillis) {
        return known.values().stream()
                .filter(k -> nowMillis - k.reportedAtMillis <= FRESH_MILLIS)
                .map(k -> k.report().best())
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Sums the work of the other hosts on each backend server.
     *
     * @param nowMillis the current time
     * @return prompt and held tokens for each server on which others work
     */
    public Map<BackendServerId, HostReport.ServerLoad> loadOfOthers(long nowMillis) {
        Map<BackendServerId, HostReport.ServerLoad> sums = new HashMap<>();
        Collection<HostReport> reports = withinReach(nowMillis);
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
}
