package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

/**
 * Models the witnesses of host epochs. It guarantees what the limits rely on: once an epoch is settled for any host, no
 * host holds the lease of an older epoch. Within that guarantee it models the worst case.
 */
final class EpochModel {

    static final long LEASE_MILLIS = 9000;
    static final long SETTLE_MILLIS = 10_000;

    /** An epoch and the time at which a majority of the previous epoch's witnesses know of it. */
    record Epoch(EpochMembers members, long majorityKnowsAtMillis) {}

    private final List<Epoch> epochs = new ArrayList<>();

    /** Registers a sheet, in the order of versions. */
    void publish(Sheet sheet, long majorityKnowsAtMillis) {
        List<Host> active = sheet.activeHosts();
        List<HostId> activeIds = active.stream().map(Host::id).toList();
        if (!epochs.isEmpty()) {
            List<HostId> previousIds =
                    newest().members.hosts().stream().map(Host::id).toList();
            if (new HashSet<>(previousIds).equals(new HashSet<>(activeIds))) {
                return;
            }
        }
        // A majority that knows a newer epoch would already refuse the older one.
        long knownAtMillis = epochs.isEmpty()
                ? majorityKnowsAtMillis
                : Math.max(majorityKnowsAtMillis, newest().majorityKnowsAtMillis);
        epochs.add(new Epoch(new EpochMembers(new HostEpoch(sheet.version().value()), active), knownAtMillis));
    }

    private Epoch newest() {
        return epochs.get(epochs.size() - 1);
    }

    Epoch epochOf(Sheet sheet) {
        for (int i = epochs.size() - 1; i >= 0; i--) {
            if (epochs.get(i).members.epoch().value() <= sheet.version().value()) {
                return epochs.get(i);
            }
        }
        throw new IllegalStateException("Sheet " + sheet.version() + " was not published.");
    }

    /** Tells whether a majority of witnesses would renew the lease of an epoch now. */
    boolean renews(Epoch epoch, long nowMillis) {
        return epochs.stream()
                .noneMatch(e ->
                        e.members.epoch().isNewerThan(epoch.members.epoch()) && e.majorityKnowsAtMillis <= nowMillis);
    }

    static EpochView view(Epoch epoch, long leaseDeadlineMillis, long adoptedAtMillis) {
        // The first epoch of a fleet has no predecessor to wait for.
        boolean first = epoch.majorityKnowsAtMillis == 0;
        long settled = first ? 0 : Math.max(adoptedAtMillis, epoch.majorityKnowsAtMillis) + SETTLE_MILLIS;
        return new EpochView(epoch.members, leaseDeadlineMillis, adoptedAtMillis, settled, List.of());
    }
}
