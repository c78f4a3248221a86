package org.guavathread.core.limit;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/** Chooses the home hosts of a workspace, which serve both its limits and {@code GET /v1/entry}. */
public final class HomeHosts {

    private HomeHosts() {}

    /**
     * Chooses the home hosts.
     *
     * @param workspace the workspace
     * @param sheet the sheet that maps data centres to regions
     * @param members the active hosts of the epoch
     * @return at most {@link LimitTerms#MAX_HOMES} hosts, best rank first, in different data centres of the workspace's
     *     region; from all active hosts if the workspace has no region or its region has no active host
     */
    public static List<HostId> of(Workspace workspace, Sheet sheet, EpochMembers members) {
        return of(workspace, sheet, members, LimitTerms.MAX_HOMES);
    }

    /**
     * Chooses a given number of home hosts.
     *
     * @param workspace the workspace
     * @param sheet the sheet that maps data centres to regions
     * @param members the active hosts of the epoch
     * @param count how many to choose, from 1 to {@link LimitTerms#MAX_HOMES}
     * @return at most {@code count} hosts, best rank first
     */
    public static List<HostId> of(Workspace workspace, Sheet sheet, EpochMembers members, int count) {
        List<Host> inRegion = members.hosts().stream()
                .filter(h -> isIn(workspace.region(), h, sheet))
                .toList();
        List<Host> candidates = inRegion.isEmpty() ? members.hosts() : inRegion;
        return new EpochMembers(members.epoch(), candidates)
                .owners("limit:" + workspace.id().value(), count);
    }

    private static boolean isIn(Optional<RegionId> region, Host host, Sheet sheet) {
        return region.isEmpty() || sheet.regionOf(host.dataCentre()).equals(region);
    }
}
