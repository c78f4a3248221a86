package org.guavathread.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.gossip.EntrySelection;
import org.guavathread.core.gossip.EntrySelection.Candidate;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.routing.HomeRegions;
import org.guavathread.core.routing.RegionMap;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.sheet.SocketAddressText;

/** Lists the addresses to which callers should connect, from this host's view of the fleet. Thread-safe. */
public final class EntryAnswers {

    private final Named own;
    private final RegionMap regions;
    private volatile View view = new View(List.of(), HostPhase.STARTING, false, Optional.empty());

    /** A host that may be named. */
    record Named(Candidate candidate, DataCentreId dataCentre) {}

    private record View(List<Named> others, HostPhase phase, boolean othersAreBetter, Optional<RoutingTable> table) {}

    EntryAnswers(Named own, RegionMap regions) {
        this.own = own;
        this.regions = regions;
    }

    void update(FleetView fleet, HostPhase phase, boolean isCutOff, Optional<RoutingTable> table, long nowMillis) {
        List<Named> others = fleet.hostsForCallers(isCutOff, nowMillis).stream()
                .map(r -> new Named(new Candidate(r.host(), r.callers(), r.capacity()), r.dataCentre()))
                .toList();
        view = new View(others, phase, isCutOff && fleet.anyReachesServers(nowMillis), table);
    }

    /**
     * Returns the addresses to which callers should connect. If a route of their virtual host has homes, they are sent to
     * hosts in their own region or in the homes, and elsewhere only if there is none.
     *
     * @param virtualHost the virtual host that they call
     * @param region their region; empty if it is not known
     * @return addresses of the hosts that serve callers; only this host's address if no other is known
     */
    public List<SocketAddressText> addresses(String virtualHost, Optional<RegionId> region) {
        View now = view;
        List<Named> serving = new ArrayList<>(now.others());
        if (now.phase().takesCallers() && !now.othersAreBetter() || serving.isEmpty()) {
            serving.add(own);
        }
        List<HomeRegions> homes = now.table().map(t -> t.homesAt(virtualHost)).orElse(List.of());
        List<Named> near = serving.stream()
                .filter(n -> regions.mayReceive(homes, region, n.dataCentre()))
                .toList();
        return EntrySelection.select(
                own.candidate().host(),
                (near.isEmpty() ? serving : near).stream().map(Named::candidate).toList());
    }

    /**
     * Returns whether this host serves callers.
     *
     * @return true if it is ready
     */
    public boolean isReady() {
        return view.phase().takesCallers();
    }
}
