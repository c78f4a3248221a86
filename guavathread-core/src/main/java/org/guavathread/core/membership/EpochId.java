package org.guavathread.core.membership;

import org.guavathread.core.id.HostEpoch;

/**
 * Identifies a host epoch across hosts. Two hosts that skipped different versions of the sheet may number the same set of
 * hosts differently; an equal hash shows that the set is the same.
 *
 * @param number the epoch
 * @param membersHash hash of its active hosts, their data centres and regions
 */
public record EpochId(HostEpoch number, long membersHash) {

    /** Sent by a host without a sheet, or by a restarted host that does not know the number of its epoch yet. */
    public static final EpochId UNKNOWN = new EpochId(HostEpoch.NONE, 0);

    /**
     * Tells whether this epoch has the same set of hosts as another one and a larger number.
     *
     * @param other the other epoch
     * @return true if the sets are equal and this number is larger
     */
    public boolean renumbers(EpochId other) {
        return membersHash == other.membersHash && number.isNewerThan(other.number);
    }
}
