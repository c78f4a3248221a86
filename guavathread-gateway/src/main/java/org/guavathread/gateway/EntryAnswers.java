package org.guavathread.gateway;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.sheet.SocketAddressText;

/** Lists the addresses to which callers should connect, from this host's view of the fleet. Thread-safe. */
public final class EntryAnswers {

    /** Maximum number of addresses in one answer. */
    private static final int MAX_ADDRESSES = 64;

    private final SocketAddressText own;
    private volatile View view = new View(List.of(), HostPhase.STARTING, false);

    private record View(List<SocketAddressText> others, HostPhase phase, boolean othersAreBetter) {}

    EntryAnswers(SocketAddressText own) {
        this.own = own;
    }

    void update(FleetView fleet, HostPhase phase, boolean isCutOff, DataCentreId here, long nowMillis) {
        List<SocketAddressText> others = fleet.callerAddresses(here, isCutOff, nowMillis);
        view = new View(others, phase, isCutOff && fleet.anyReachesServers(nowMillis));
    }

    /**
     * Returns the addresses to which callers should connect.
     *
     * @return addresses of the hosts that serve callers; only this host's address if no other is known
     */
    public List<SocketAddressText> addresses() {
        View now = view;
        List<SocketAddressText> addresses = new ArrayList<>();
        if (now.phase().takesCallers() && !now.othersAreBetter() || now.others().isEmpty()) {
            addresses.add(own);
        }
        addresses.addAll(now.others());
        return List.copyOf(addresses.subList(0, Math.min(MAX_ADDRESSES, addresses.size())));
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
