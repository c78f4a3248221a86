package org.guavathread.router.flow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.limit.HomeHosts;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;
import org.guavathread.router.fleet.FleetSnapshot;

/** Builds the answer that tells the callers of a workspace which hosts to use. */
public final class EntryAnswer {

    /** How long a caller may cache the answer; shorter than the 6 s for which a draining host still accepts work. */
    public static final long VALID_FOR_MILLIS = 5_000;

    private static final int MAX_ADDRESSES = 4;

    private EntryAnswer() {}

    /**
     * Lists addresses: the home hosts of the workspace, nearest data centre first, then other hosts.
     *
     * @param fleet the fleet
     * @param self the host that was asked; named although it may call itself suspect
     * @param nearest data centre of the host that answers; its hosts come first
     * @param workspace the workspace of the API key, if the caller sent one
     * @return the value that is written as JSON
     */
    public static Map<String, Object> of(
            FleetSnapshot fleet, HostId self, DataCentreId nearest, Optional<WorkspaceId> workspace) {
        Sheet sheet = fleet.sheet();
        Set<HostId> ranked = new LinkedHashSet<>();
        Optional<Workspace> known = workspace.map(sheet.workspaces()::get);
        known.ifPresent(w -> ranked.addAll(
                nearestFirst(sheet, HomeHosts.of(w, sheet, fleet.epochs().current()), nearest)));
        String rankingKey = workspace.map(WorkspaceId::value).orElse("");
        List<HostId> others =
                RendezvousHash.rank("entry:" + rankingKey, sheet.activeHosts(), h -> h.id().value()).stream()
                        .map(Host::id)
                        .toList();
        ranked.addAll(nearestFirst(sheet, others, nearest));
        List<Map<String, String>> addresses = new ArrayList<>();
        for (HostId id : ranked) {
            Host host = sheet.hosts().get(id);
            boolean usable = host != null && host.isActive() && fleet.isLive(id);
            if (usable && addresses.size() < MAX_ADDRESSES) {
                addresses.add(Map.of(
                        "address",
                        host.callers().toString(),
                        "dataCentre",
                        host.dataCentre().value()));
            }
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("addresses", addresses);
        answer.put("validForMillis", VALID_FOR_MILLIS);
        return answer;
    }

    private static List<HostId> nearestFirst(Sheet sheet, List<HostId> hosts, DataCentreId nearest) {
        List<HostId> sorted = new ArrayList<>(hosts);
        sorted.sort((a, b) -> Integer.compare(distance(sheet, a, nearest), distance(sheet, b, nearest)));
        return sorted;
    }

    /** Gives 0 in the same data centre, 1 in the same region, 2 elsewhere. */
    private static int distance(Sheet sheet, HostId id, DataCentreId from) {
        Host host = sheet.hosts().get(id);
        if (host == null || host.dataCentre().equals(from)) {
            return host == null ? 2 : 0;
        }
        return sheet.regionOf(host.dataCentre()).equals(sheet.regionOf(from)) ? 1 : 2;
    }
}
