package org.guavathread.core.membership;

import org.guavathread.core.id.HostEpoch;

/**
 * Identifies a host epoch among hosts: two hosts that skipped different versions of the sheet may give the same set of
 * hosts different numbers, which the hash reveals.
 *
 * @param number the epoch
 * @param membersHash hash of its active hosts, their data centres and regions
 */
public record EpochId(HostEpoch number, long membersHash) {

    /** What a host without a sheet, or a restarted host that does not know its epoch yet, asks with. */
    public static final EpochId UNKNOWN = new EpochId(HostEpoch.NONE, 0);

    /**
     * Tells whether this is the same set of hosts under a larger number.
     *
     * @param other the other epoch
     * @return true if the sets are equal and this number is larger
     */
    public boolean renumbers(EpochId other) {
        return membersHash == other.membersHash && number.isNewerThan(other.number);
    }
}
