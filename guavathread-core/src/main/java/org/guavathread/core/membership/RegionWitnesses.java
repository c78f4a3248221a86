package org.guavathread.core.membership;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;

/**
 * The witnesses of one epoch in one region.
 *
 * @param region the region
 * @param hosts its witnesses, best rank first
 */
public record RegionWitnesses(RegionId region, List<HostId> hosts) {

    /** Copies the hosts. */
    public RegionWitnesses {
        hosts = List.copyOf(hosts);
    }

    int majority() {
        return EpochMembers.majorityOf(hosts.size());
    }
}
