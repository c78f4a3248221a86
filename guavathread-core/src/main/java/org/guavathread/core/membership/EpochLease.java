package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.HostId;

/** Computes the lease of a host from the times at which it pinged the witnesses that support the lease. */
final class EpochLease {

    /** How long one answered ping supports a lease, in milliseconds since the ping was sent. */
    static final long DURATION_MILLIS = 9_000;

    private final Map<HostId, Long> askedAtByWitness = new HashMap<>();

    void supported(HostId witness, long askedAtMillis) {
        askedAtByWitness.merge(witness, askedAtMillis, Math::max);
    }

    void withdrawn(HostId witness) {
        askedAtByWitness.remove(witness);
    }

    void clear() {
        askedAtByWitness.clear();
    }

    /** Returns the end of the lease, or 0 if no majority supports it. */
    long deadlineMillis(RegionWitnesses witnesses) {
        List<Long> askedAt = new ArrayList<>();
        for (HostId witness : witnesses.hosts()) {
            Long at = askedAtByWitness.get(witness);
            if (at != null) {
                askedAt.add(at);
            }
        }
        if (askedAt.size() < witnesses.majority()) {
            return 0;
        }
        askedAt.sort(Comparator.reverseOrder());
        return askedAt.get(witnesses.majority() - 1) + DURATION_MILLIS;
    }
}
