package org.guavathread.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;

/**
 * Decides when an epoch is settled: in each region of every earlier epoch whose leases may still run, a majority of the
 * witnesses has confirmed the new epoch, and the leases that they supported before have ended.
 *
 * <p>There must be an instant at which all confirmations of a majority hold: each of its witnesses has confirmed before
 * the instant, and again in a round trip that began after the instant, without a restart in between. Otherwise a witness
 * could confirm, restart, recover from witnesses that have not confirmed yet and know no newer epoch, and support the
 * old one.
 */
final class EpochSettlement {

    /** Exceeds the lease by 1 s, which tolerates clock rates that differ by 10%. */
    static final long WAIT_MILLIS = 10_000;

    private record Confirmation(Incarnation witness, long firstAtMillis, long lastAskedAtMillis) {}

    private final Map<HostId, Confirmation> confirmations = new HashMap<>();

    void confirmed(HostId host, Incarnation witness, long askedAtMillis, long nowMillis) {
        confirmations.merge(
                host,
                new Confirmation(witness, nowMillis, askedAtMillis),
                (old, next) -> old.witness().equals(witness)
                        ? new Confirmation(
                                witness, old.firstAtMillis(), Math.max(old.lastAskedAtMillis(), askedAtMillis))
                        : next.witness().isAfter(old.witness()) ? next : old);
    }

    void clear() {
        confirmations.clear();
    }

    /** Returns the time from which the epoch is settled, or NOT_SETTLED. */
    long settledAtMillis(Collection<KnownEpoch> liveEpochs) {
        long confirmedAt = 0;
        for (KnownEpoch epoch : liveEpochs) {
            for (RegionWitnesses witnesses : epoch.witnesses()) {
                long at = majorityAtMillis(witnesses);
                if (at == EpochView.NOT_SETTLED) {
                    return EpochView.NOT_SETTLED;
                }
                confirmedAt = Math.max(confirmedAt, at);
            }
        }
        return confirmedAt + WAIT_MILLIS;
    }

    private long majorityAtMillis(RegionWitnesses witnesses) {
        TreeSet<Long> instants = new TreeSet<>();
        for (HostId host : witnesses.hosts()) {
            if (confirmations.containsKey(host)) {
                instants.add(confirmations.get(host).firstAtMillis());
            }
        }
        for (long instant : instants) {
            long supporters = witnesses.hosts().stream()
                    .map(confirmations::get)
                    .filter(c -> c != null && c.firstAtMillis() <= instant && c.lastAskedAtMillis() >= instant)
                    .count();
            if (supporters >= witnesses.majority()) {
                return instant;
            }
        }
        return EpochView.NOT_SETTLED;
    }
}
