package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.Host;

/** The superseded epochs that a host remembers, newest first. */
final class EpochLineage {

    /** Bounds memory and messages; 64 changes of the host set within one retention are far above the expected rate. */
    private static final int MAX_EPOCHS = 64;

    /** Bounds the reply of a witness; 6 epochs that each replace 410 hosts fit into a frame of 256 KiB. */
    private static final int MAX_EPOCHS_SENT = 6;

    private record PastEpoch(KnownEpoch epoch, long supersededAtMillis, long successorSettledAtMillis) {

        boolean isLive() {
            return successorSettledAtMillis == EpochView.NOT_SETTLED;
        }
    }

    private final List<PastEpoch> past = new ArrayList<>();

    void superseded(KnownEpoch epoch, long nowMillis) {
        add(new PastEpoch(epoch, nowMillis, EpochView.NOT_SETTLED));
    }

    void settled(long nowMillis) {
        past.replaceAll(p -> p.isLive() ? new PastEpoch(p.epoch(), p.supersededAtMillis(), nowMillis) : p);
    }

    /** Removes epochs that have given no rights for longer than the retention, because a later epoch was settled. */
    void prune(long nowMillis, long retentionMillis) {
        past.removeIf(p -> !p.isLive() && nowMillis - p.successorSettledAtMillis() > retentionMillis);
        while (past.size() > MAX_EPOCHS) {
            past.remove(past.size() - 1);
        }
    }

    /** Lists the epochs whose leases may still run. */
    List<KnownEpoch> live() {
        return past.stream().filter(PastEpoch::isLive).map(PastEpoch::epoch).toList();
    }

    boolean knows(EpochId id) {
        return past.stream().anyMatch(p -> p.epoch().id().equals(id));
    }

    List<EpochView.Superseded> views() {
        return past.stream()
                .map(p -> new EpochView.Superseded(
                        p.epoch().members(), p.supersededAtMillis(), p.successorSettledAtMillis()))
                .toList();
    }

    List<LineageEntry> entries(KnownEpoch current, long nowMillis) {
        Set<HostId> currentIds = new HashSet<>();
        current.hosts().forEach(h -> currentIds.add(h.id()));
        List<LineageEntry> entries = new ArrayList<>();
        for (PastEpoch p : past.subList(0, Math.min(MAX_EPOCHS_SENT, past.size()))) {
            List<Host> removedHosts = p.epoch().hosts().stream()
                    .filter(h -> !currentIds.contains(h.id()))
                    .toList();
            Set<HostId> pastIds = new HashSet<>();
            p.epoch().hosts().forEach(h -> pastIds.add(h.id()));
            List<HostId> addedHosts = current.hosts().stream()
                    .map(Host::id)
                    .filter(h -> !pastIds.contains(h))
                    .toList();
            entries.add(new LineageEntry(
                    p.epoch().id().number(),
                    p.epoch().id().membersHash(),
                    removedHosts,
                    addedHosts,
                    p.epoch().witnesses(),
                    nowMillis - p.supersededAtMillis(),
                    p.isLive() ? -1 : nowMillis - p.successorSettledAtMillis()));
        }
        return entries;
    }

    /** Adds the epochs that a host in the same epoch knows; returns whether any of them is new and its leases may run. */
    boolean merge(KnownEpoch current, List<LineageEntry> entries, long nowMillis) {
        boolean foundLive = false;
        for (LineageEntry entry : entries) {
            EpochId id = new EpochId(entry.epoch(), entry.membersHash());
            if (entry.successorSettledAgoMillis() >= 0) {
                markSettled(id, nowMillis - entry.successorSettledAgoMillis());
            }
            if (knows(id) || !current.id().number().isNewerThan(id.number())) {
                continue;
            }
            List<Host> hosts = new ArrayList<>(entry.removedHosts());
            Set<HostId> addedHosts = new HashSet<>(entry.addedHosts());
            current.hosts().stream().filter(h -> !addedHosts.contains(h.id())).forEach(hosts::add);
            long settledAt = entry.successorSettledAgoMillis() < 0
                    ? EpochView.NOT_SETTLED
                    : nowMillis - entry.successorSettledAgoMillis();
            add(new PastEpoch(
                    new KnownEpoch(id, hosts, entry.witnesses()), nowMillis - entry.supersededAgoMillis(), settledAt));
            foundLive |= settledAt == EpochView.NOT_SETTLED;
        }
        return foundLive;
    }

    private void markSettled(EpochId id, long atMillis) {
        past.replaceAll(p -> p.isLive() && p.epoch().id().equals(id)
                ? new PastEpoch(p.epoch(), p.supersededAtMillis(), atMillis)
                : p);
    }

    private void add(PastEpoch entry) {
        past.add(entry);
        past.sort(Comparator.comparing((PastEpoch p) -> p.epoch().id().number()).reversed());
    }
}
