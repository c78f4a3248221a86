package org.guavathread.core.membership;

import java.util.List;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.Host;

/**
 * The active hosts of one host epoch.
 *
 * @param epoch the epoch
 * @param hosts its active hosts, in the order of the sheet
 */
public record EpochMembers(HostEpoch epoch, List<Host> hosts) {

    /** Copies the hosts. */
    public EpochMembers {
        hosts = List.copyOf(hosts);
    }

    /**
     * Picks the owners of a key, spread over data centres.
     *
     * @param key the key, with a prefix that names its use, for example {@code "claim:"}
     * @param count how many to pick at most
     * @return the owners, best rank first
     */
    public List<HostId> owners(String key, int count) {
        return RendezvousHash.rankSpread(key, hosts, h -> h.id().value(), Host::dataCentre, count).stream()
                .map(Host::id)
                .toList();
    }

    /**
     * Returns how many members of a group form a majority.
     *
     * @param size the size of the group
     * @return the smallest number that is more than half of it
     */
    public static int majorityOf(int size) {
        return size / 2 + 1;
    }
}
