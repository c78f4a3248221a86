package org.guavathread.router.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.Sheet;

/**
 * What a host knows about the fleet at one point in time. Immutable.
 *
 * @param sheet the sheet in force; a sheet of version {@link SheetVersion#NONE} before the first one
 * @param keys the API keys of that sheet
 * @param epochs the host epochs and this host's rights
 * @param suspect hosts that do not answer
 * @param draining hosts that have reported that they are shutting down
 * @param incarnations latest known incarnation of each host that has answered
 */
public record FleetSnapshot(
        Sheet sheet,
        KeyRing keys,
        EpochView epochs,
        Set<HostId> suspect,
        Set<HostId> draining,
        Map<HostId, Incarnation> incarnations) {

    /** Copies the collections. */
    public FleetSnapshot {
        suspect = Set.copyOf(suspect);
        draining = Set.copyOf(draining);
        incarnations = Map.copyOf(incarnations);
    }

    /**
     * Gives the snapshot of a host that has not received a sheet yet.
     *
     * @return a snapshot without hosts, workspaces and routes
     */
    public static FleetSnapshot empty() {
        Sheet none = Sheet.builder().build();
        EpochView view =
                new EpochView(new EpochMembers(HostEpoch.NONE, List.of()), 0, 0, EpochView.NOT_SETTLED, List.of());
        return new FleetSnapshot(none, KeyRing.of(none), view, Set.of(), Set.of(), Map.of());
    }

    /**
     * Tells whether there is a sheet.
     *
     * @return true once a sheet is in force
     */
    public boolean hasSheet() {
        return sheet.version().isNewerThan(SheetVersion.NONE);
    }

    /**
     * Tells whether a host may be given work and listed for callers.
     *
     * @param host the host
     * @return true if it is neither suspect nor draining
     */
    public boolean isLive(HostId host) {
        return !suspect.contains(host) && !draining.contains(host);
    }
}
