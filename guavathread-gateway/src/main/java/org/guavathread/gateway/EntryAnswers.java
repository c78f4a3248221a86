package org.guavathread.gateway;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.gossip.EntrySelection;
import org.guavathread.core.gossip.EntrySelection.Candidate;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.sheet.SocketAddressText;

/** Lists the addresses to which callers should connect, from this host's view of the fleet. Thread-safe. */
public final class EntryAnswers {

    private final Candidate own;
    private volatile View view = new View(List.of(), HostPhase.STARTING, false);

    private record View(List<Candidate> others, HostPhase phase, boolean othersAreBetter) {}

    EntryAnswers(Candidate own) {
        this.own = own;
    }

    void update(FleetView fleet, HostPhase phase, boolean isCutOff, long nowMillis) {
        List<Candidate> others = fleet.hostsForCallers(isCutOff, nowMillis).stream()
                .map(r -> new Candidate(r.host(), r.callers(), r.capacity()))
                .toList();
        view = new View(others, phase, isCutOff && fleet.anyReachesServers(nowMillis));
    }

    /**
     * Returns the addresses to which callers should connect.
     *
     * @return addresses of the hosts that serve callers; only this host's address if no other is known
     */
    public List<SocketAddressText> addresses() {
        View now = view;
        List<Candidate> serving = new ArrayList<>(now.others());
        if (now.phase().takesCallers() && !now.othersAreBetter() || serving.isEmpty()) {
            serving.add(own);
        }
        return EntrySelection.select(own.host(), serving);
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
