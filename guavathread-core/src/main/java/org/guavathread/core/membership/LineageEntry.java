package org.guavathread.core.membership;

import java.util.List;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.Host;

/**
 * A superseded epoch as sent to a host with the same current set of hosts. Its members are sent as the difference from
 * that set, because epochs usually differ by only a few of up to 410 hosts.
 *
 * @param epoch the superseded epoch
 * @param membersHash hash of its set of hosts
 * @param removedHosts its hosts that are not in the current set
 * @param addedHosts ids of the hosts of the current set that were not in this epoch
 * @param witnesses its witnesses by region
 * @param supersededAgoMillis how long ago the sender learned of the next epoch, in milliseconds
 * @param successorSettledAgoMillis how long ago a later epoch was settled, in milliseconds; -1 if none has been
 */
public record LineageEntry(
        HostEpoch epoch,
        long membersHash,
        List<Host> removedHosts,
        List<HostId> addedHosts,
        List<RegionWitnesses> witnesses,
        long supersededAgoMillis,
        long successorSettledAgoMillis) {

    /** Copies the lists. */
    public LineageEntry {
        removedHosts = List.copyOf(removedHosts);
        addedHosts = List.copyOf(addedHosts);
        witnesses = List.copyOf(witnesses);
    }
}
