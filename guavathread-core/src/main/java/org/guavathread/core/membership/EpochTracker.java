package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

/**
 * Tracks the host epochs of the sheets in force and determines the rights of this host. It pings the witnesses, and
 * answers pings as a witness.
 *
 * <pre>{@code
 * tracker.onSheet(sheet, now);
 * tracker.onTick(now).forEach(ping -> peers.send(ping.to(), ping.message()));
 * EpochView view = tracker.view(now);
 * }</pre>
 */
public final class EpochTracker {

    /** Interval while the epoch is not settled or the lease is short; a lost ping then costs one second. */
    private static final long FAST_PING_INTERVAL_MILLIS = 1_000;

    /** Normal interval; three pings fit into a lease, so that two may be lost. */
    private static final long NORMAL_PING_INTERVAL_MILLIS = 3_000;

    /** Remainder of a lease after one normal interval; less means that a ping was lost. */
    private static final long MIN_LEASE_FOR_NORMAL_PING_MILLIS =
            EpochLease.DURATION_MILLIS - NORMAL_PING_INTERVAL_MILLIS;

    /**
     * How many leaving hosts a restarted host also pings. They may be the only ones that know the earlier epochs: if all
     * witnesses of an epoch are new hosts, none of them does.
     */
    private static final int MAX_LEAVING_HOSTS_PINGED = 5;

    private final HostId self;
    private final Incarnation incarnation;
    private final WitnessRecovery recovery;
    private final EpochLease lease = new EpochLease();
    private final EpochSettlement settlement = new EpochSettlement();
    private final EpochLineage lineage = new EpochLineage();
    private final Map<HostId, Long> pingedAtMillis = new HashMap<>();

    private Sheet sheet;
    private KnownEpoch current;
    private boolean numberKnown;
    private boolean keepsRights;
    private long adoptedAtMillis;
    private long settledAtMillis = EpochView.NOT_SETTLED;
    private long inheritedLeaseDeadlineMillis;

    /**
     * Creates the tracker of one process of a host.
     *
     * @param self this host
     * @param incarnation the incarnation of this process
     * @param startedAtMillis when this process started, on the clock that is passed to the other methods
     */
    public EpochTracker(HostId self, Incarnation incarnation, long startedAtMillis) {
        this.self = self;
        this.incarnation = incarnation;
        this.recovery = new WitnessRecovery(self, startedAtMillis);
    }

    /**
     * A ping to send.
     *
     * @param to the witness
     * @param message the ping
     */
    public record PingTo(HostId to, WitnessPing message) {}

    /**
     * Handles a sheet that came into force. A sheet with a different set of active hosts starts a new epoch.
     *
     * @param next the sheet; older versions are ignored
     * @param nowMillis the current time
     */
    public void onSheet(Sheet next, long nowMillis) {
        if (sheet != null && !next.version().isNewerThan(sheet.version())) {
            return;
        }
        KnownEpoch epoch = KnownEpoch.of(next, new HostEpoch(next.version().value()));
        sheet = next;
        if (current != null && epoch.id().membersHash() == current.id().membersHash()) {
            return;
        }
        if (!numberKnown) {
            recovery.clearAnswers();
            current = epoch.renumbered(HostEpoch.NONE);
            adoptedAtMillis = nowMillis;
            if (next.hosts().size() == 1 && isWitness(current)) {
                recovery.completeWithoutWitnesses();
                setEpochNumber(epoch.id().number());
                settledAtMillis = nowMillis;
            }
            return;
        }
        supersede(epoch, nowMillis);
    }

    /**
     * Starts an epoch. Rights are kept only if the host could use them in the previous epoch. No later epoch can be
     * settled before the old lease ends, so the host may continue to use the old lease until then.
     */
    private void supersede(KnownEpoch epoch, long nowMillis) {
        boolean otherSet = epoch.id().membersHash() != current.id().membersHash();
        boolean hadRights = keepsRights || nowMillis >= settledAtMillis;
        inheritedLeaseDeadlineMillis = leaseDeadlineMillis(nowMillis);
        lineage.superseded(current, nowMillis);
        current = epoch;
        adoptedAtMillis = nowMillis;
        settledAtMillis = EpochView.NOT_SETTLED;
        keepsRights = hadRights && otherSet;
        lease.clear();
        settlement.clear();
        pingedAtMillis.clear();
    }

    private void setEpochNumber(HostEpoch number) {
        current = current.renumbered(number);
        numberKnown = true;
    }

    /**
     * Returns the pings that are due. Must be called several times a second.
     *
     * @param nowMillis the current time
     * @return the pings, at most one for each host
     */
    public List<PingTo> onTick(long nowMillis) {
        if (sheet == null) {
            return List.of();
        }
        refresh(nowMillis);
        boolean settled = nowMillis >= settledAtMillis;
        boolean normalInterval =
                settled && leaseDeadlineMillis(nowMillis) - nowMillis >= MIN_LEASE_FOR_NORMAL_PING_MILLIS;
        long interval = normalInterval ? NORMAL_PING_INTERVAL_MILLIS : FAST_PING_INTERVAL_MILLIS;
        EpochId pingEpoch = numberKnown ? current.id() : EpochId.UNKNOWN;
        boolean wantLineage = !numberKnown || !settled;
        List<PingTo> pings = new ArrayList<>();
        for (HostId host : pingTargets(settled)) {
            if (!host.equals(self) && nowMillis - pingedAtMillis.getOrDefault(host, nowMillis - interval) >= interval) {
                pingedAtMillis.put(host, nowMillis);
                pings.add(new PingTo(
                        host, new WitnessPing(pingEpoch, sheet.version(), incarnation, nowMillis, wantLineage)));
            }
        }
        return pings;
    }

    /**
     * Returns the hosts to ping. Only witnesses of the new epoch ping all witnesses of the earlier ones; the other hosts
     * learn from them that the epoch is settled. Otherwise 410 hosts would ping 20 witnesses each second.
     */
    private Set<HostId> pingTargets(boolean settled) {
        Set<HostId> pingTargets = new TreeSet<>(leaseWitnesses(current).hosts());
        if (!numberKnown || !recovery.isDone()) {
            pingTargets.addAll(current.allWitnesses());
            sheet.hosts().values().stream()
                    .filter(host -> !host.isActive())
                    .limit(MAX_LEAVING_HOSTS_PINGED)
                    .forEach(host -> pingTargets.add(host.id()));
        }
        if (!settled && numberKnown) {
            if (isWitness(current)) {
                lineage.live().forEach(epoch -> pingTargets.addAll(epoch.allWitnesses()));
            }
            lineage.live()
                    .forEach(epoch -> pingTargets.addAll(leaseWitnesses(epoch).hosts()));
        }
        return pingTargets;
    }

    /** Updates the state for the current time, and counts this host's own confirmation and support. */
    private void refresh(long nowMillis) {
        if (!recovery.isDone()) {
            recovery.check(leaseWitnesses(current), nowMillis);
            if (recovery.memory(nowMillis) == WitnessMemory.LOST) {
                continueWithoutRecovery(nowMillis);
            }
        }
        if (!numberKnown) {
            return;
        }
        settlement.confirmed(self, incarnation, nowMillis, nowMillis);
        if (recovery.isDone()) {
            lease.supported(self, nowMillis);
        }
        if (settledAtMillis == EpochView.NOT_SETTLED) {
            List<KnownEpoch> live = lineage.live();
            if (!live.isEmpty() && settlement.settledAtMillis(live) <= nowMillis) {
                settle(nowMillis);
            }
        }
        lineage.prune(nowMillis, sheet.claimRetentionSeconds() * 1_000L);
    }

    /** Continues when no witness knows an earlier epoch and the leases that the witnesses supported have ended. */
    private void continueWithoutRecovery(long nowMillis) {
        if (!numberKnown) {
            setEpochNumber(new HostEpoch(sheet.version().value()));
        }
        if (lineage.live().isEmpty() && settledAtMillis == EpochView.NOT_SETTLED) {
            settle(nowMillis);
        }
    }

    private void settle(long nowMillis) {
        settledAtMillis = nowMillis;
        lineage.settled(nowMillis);
    }

    /**
     * Answers a ping as a witness.
     *
     * @param from the sender
     * @param ping its ping
     * @param nowMillis the current time
     * @return the reply
     */
    public WitnessReply onPing(HostId from, WitnessPing ping, long nowMillis) {
        if (sheet != null) {
            refresh(nowMillis);
            adoptLargerNumber(ping.epoch(), nowMillis);
        }
        EpochId ownEpoch = current == null ? EpochId.UNKNOWN : current.id();
        boolean settled = numberKnown && nowMillis >= settledAtMillis;
        boolean sameSet = ping.epoch().equals(EpochId.UNKNOWN) || ownEpoch.equals(ping.epoch());
        List<LineageEntry> entries = ping.wantLineage() && sameSet && numberKnown && current != null
                ? lineage.entries(current, nowMillis)
                : List.of();
        SheetVersion version = sheet == null ? SheetVersion.NONE : sheet.version();
        return new WitnessReply(
                ping.epoch(),
                ping.sender(),
                ping.sentAtMillis(),
                incarnation,
                recovery.memory(nowMillis),
                ownEpoch,
                settled,
                version,
                entries);
    }

    /** Adopts the larger number of a host with the same set of hosts, unless it exceeds the version of this host's sheet. */
    private void adoptLargerNumber(EpochId other, long nowMillis) {
        if (!other.renumbers(current.id())
                || other.number().value() > sheet.version().value()) {
            return;
        }
        if (numberKnown) {
            supersede(current.renumbered(other.number()), nowMillis);
        } else {
            setEpochNumber(other.number());
        }
    }

    /**
     * Handles the reply of a witness.
     *
     * @param from the witness
     * @param reply its reply; replies to earlier incarnations of this host are ignored
     * @param nowMillis the current time
     */
    public void onReply(HostId from, WitnessReply reply, long nowMillis) {
        if (sheet == null || !reply.sender().equals(incarnation)) {
            return;
        }
        boolean sameSet = reply.epoch().membersHash() == current.id().membersHash();
        if (sameSet && !recovery.isDone()) {
            recovery.answered(from, reply.memory(), nowMillis);
        }
        if (sameSet) {
            adoptLargerNumber(reply.epoch(), nowMillis);
        }
        if (!numberKnown) {
            refresh(nowMillis);
            return;
        }
        if (reply.epoch().equals(current.id())) {
            mergeLineage(reply, nowMillis);
        }
        if (reply.confirms() && reply.pingEpoch().equals(current.id())) {
            settlement.confirmed(from, reply.witness(), reply.sentAtMillis(), nowMillis);
            if (reply.supportsLease()) {
                lease.supported(from, reply.sentAtMillis());
            }
        } else if (reply.epoch().number().isNewerThan(current.id().number())) {
            lease.withdrawn(from);
        }
        refresh(nowMillis);
    }

    /** Merges the witness's earlier epochs. If this host missed one, another host may have got its rights in that epoch. */
    private void mergeLineage(WitnessReply reply, long nowMillis) {
        if (settledAtMillis != EpochView.NOT_SETTLED) {
            return;
        }
        if (lineage.merge(current, reply.lineage(), nowMillis)) {
            keepsRights = false;
        }
        if (reply.settled()) {
            settle(nowMillis);
        }
    }

    /**
     * Returns the current rights of this host.
     *
     * @param nowMillis the current time
     * @return the view; without a sheet, an epoch without hosts and no lease
     */
    public EpochView view(long nowMillis) {
        if (current == null) {
            return new EpochView(
                    new EpochMembers(HostEpoch.NONE, List.of()), 0, nowMillis, EpochView.NOT_SETTLED, List.of());
        }
        return new EpochView(
                current.members(), leaseDeadlineMillis(nowMillis), adoptedAtMillis, settledAtMillis, lineage.views());
    }

    /**
     * Returns the end of the lease. Before the epoch is settled, the lease also needs the support of the witnesses of the
     * earlier epochs: a host that skipped this epoch pings only those before it settles a later one.
     */
    private long leaseDeadlineMillis(long nowMillis) {
        if (!numberKnown) {
            return 0;
        }
        boolean settled = nowMillis >= settledAtMillis;
        long deadline = 0;
        if (settled || keepsRights) {
            deadline = supportedUntilMillis(current, nowMillis);
            for (KnownEpoch epoch : settled ? List.<KnownEpoch>of() : lineage.live()) {
                deadline = Math.min(deadline, supportedUntilMillis(epoch, nowMillis));
            }
        }
        return Math.max(deadline, inheritedLeaseDeadlineMillis);
    }

    private long supportedUntilMillis(KnownEpoch epoch, long nowMillis) {
        boolean onlyHost = epoch.hosts().size() == 1 && isWitness(epoch) && recovery.isDone();
        return onlyHost ? nowMillis + EpochLease.DURATION_MILLIS : lease.deadlineMillis(leaseWitnesses(epoch));
    }

    /**
     * Returns the epoch that this host puts into its messages.
     *
     * @return the epoch, or {@link EpochId#UNKNOWN} before the host knows it
     */
    public EpochId epoch() {
        return numberKnown ? current.id() : EpochId.UNKNOWN;
    }

    /**
     * Lists hosts of earlier epochs that must stay reachable although the sheet may no longer list them.
     *
     * @return the witnesses of epochs whose leases may still run, with their addresses
     */
    public List<Host> earlierWitnesses() {
        List<Host> hosts = new ArrayList<>();
        Set<HostId> seen = new HashSet<>();
        for (KnownEpoch epoch : lineage.live()) {
            Set<HostId> witnesses = epoch.allWitnesses();
            epoch.hosts().stream()
                    .filter(h -> witnesses.contains(h.id()) && seen.add(h.id()))
                    .forEach(hosts::add);
        }
        return hosts;
    }

    private boolean isWitness(KnownEpoch epoch) {
        return epoch.allWitnesses().contains(self);
    }

    /** Returns the witnesses of this host's region, or of the first one if this host is not listed or has no active region. */
    private RegionWitnesses leaseWitnesses(KnownEpoch epoch) {
        Host host = sheet.hosts().get(self);
        RegionId region =
                host == null ? null : sheet.regionOf(host.dataCentre()).orElse(null);
        return epoch.witnessesIn(region).orElseGet(() -> epoch.witnesses().get(0));
    }
}
