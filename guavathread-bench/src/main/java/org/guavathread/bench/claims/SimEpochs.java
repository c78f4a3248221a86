package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;

/**
 * The epochs that are known to one run of a host. Leases and settling follow section 5.1 of the design; an epoch is
 * settled only when a majority of the witnesses of every older epoch knows it, including epochs that this host skipped.
 */
final class SimEpochs {

    static final long PING_MILLIS = 1_000;

    private static final long LEASE_MILLIS = 9_000;
    private static final long SETTLE_MILLIS = 10_000;
    private static final int WITNESSES = 5;

    private final List<EpochMembers> published;
    private final List<EpochView.Superseded> earlier = new ArrayList<>();
    private final Map<HostEpoch, List<HostId>> witnessesByEpoch = new HashMap<>();
    private EpochMembers current;
    private long leaseDeadlineMillis;
    private long adoptedAtMillis;
    private long confirmedAtMillis = EpochView.NOT_SETTLED;
    private long settledAtMillis = EpochView.NOT_SETTLED;

    SimEpochs(List<EpochMembers> published, EpochMembers first, long nowMillis) {
        this.published = published;
        this.current = first;
        this.adoptedAtMillis = nowMillis;
    }

    /** Creates the state of a host that has run for a long time, so that its first epoch is settled. */
    static SimEpochs longSettled(List<EpochMembers> published, long startedAtMillis, long nowMillis) {
        SimEpochs epochs = new SimEpochs(published, published.get(0), startedAtMillis);
        epochs.settledAtMillis = startedAtMillis;
        epochs.leaseDeadlineMillis = nowMillis + LEASE_MILLIS;
        return epochs;
    }

    EpochMembers current() {
        return current;
    }

    EpochView view() {
        return new EpochView(current, leaseDeadlineMillis, adoptedAtMillis, settledAtMillis, earlier);
    }

    void adopt(EpochMembers newMembers, long nowMillis) {
        if (!newMembers.epoch().isNewerThan(current.epoch())) {
            return;
        }
        earlier.add(0, new EpochView.Superseded(current, nowMillis, EpochView.NOT_SETTLED));
        current = newMembers;
        adoptedAtMillis = nowMillis;
        leaseDeadlineMillis = 0;
        confirmedAtMillis = EpochView.NOT_SETTLED;
        settledAtMillis = EpochView.NOT_SETTLED;
    }

    /**
     * Pings the witnesses.
     *
     * @param reachable the current epoch of each witness that answers
     */
    void ping(Map<HostId, EpochMembers> reachable, long nowMillis) {
        List<HostId> witnesses = witnesses(current);
        for (HostId witness : witnesses) {
            if (reachable.containsKey(witness)) {
                adopt(reachable.get(witness), nowMillis);
            }
        }
        if (majorityKnows(current, reachable)) {
            leaseDeadlineMillis = nowMillis + LEASE_MILLIS;
        }
        if (settledAtMillis == EpochView.NOT_SETTLED) {
            settle(reachable, nowMillis);
        }
    }

    private void settle(Map<HostId, EpochMembers> reachable, long nowMillis) {
        boolean confirmed = published.stream()
                .filter(e -> current.epoch().isNewerThan(e.epoch()))
                .allMatch(e -> majorityKnows(e, reachable));
        if (confirmed && confirmedAtMillis == EpochView.NOT_SETTLED) {
            confirmedAtMillis = nowMillis;
        }
        if (confirmedAtMillis != EpochView.NOT_SETTLED && nowMillis >= confirmedAtMillis + SETTLE_MILLIS) {
            settledAtMillis = nowMillis;
            earlier.replaceAll(e -> e.successorSettledAtMillis() == EpochView.NOT_SETTLED
                    ? new EpochView.Superseded(e.members(), e.supersededAtMillis(), nowMillis)
                    : e);
        }
    }

    private boolean majorityKnows(EpochMembers members, Map<HostId, EpochMembers> reachable) {
        List<HostId> witnesses = witnesses(members);
        long agreeing = witnesses.stream()
                .filter(w ->
                        reachable.containsKey(w) && reachable.get(w).epoch().equals(current.epoch()))
                .count();
        return agreeing >= EpochMembers.majorityOf(witnesses.size());
    }

    private List<HostId> witnesses(EpochMembers members) {
        return witnessesByEpoch.computeIfAbsent(members.epoch(), e -> members.owners("witness", WITNESSES));
    }
}
