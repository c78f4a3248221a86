package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.Relays;

/** Picks relaying hosts at random among those that serve callers and reach the servers. */
public final class RelayHosts implements Relays {

    /** Time for which a host is not picked that did not relay a request. */
    private static final long FAILURE_BACKOFF_MILLIS = 1_000;

    private final GatewayContext context;
    private final FleetView fleet;
    private final Map<HostId, Long> avoidedUntilMillis = new HashMap<>();

    /**
     * Creates the choice.
     *
     * @param context source of time and random numbers
     * @param fleet this host's view of the other hosts
     */
    public RelayHosts(GatewayContext context, FleetView fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    @Override
    public Optional<RelayHost> next(Set<HostId> tried, Predicate<DataCentreId> allowed) {
        long now = context.loop().nowMillis();
        avoidedUntilMillis.values().removeIf(until -> until <= now);
        List<HostReport> candidates = new ArrayList<>(fleet.reachableHosts(now));
        candidates.removeIf(r -> !r.phase().takesCallers()
                || r.isCutOff()
                || !allowed.test(r.dataCentre())
                || tried.contains(r.host())
                || avoidedUntilMillis.containsKey(r.host()));
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        HostReport picked = candidates.get(context.random().nextInt(candidates.size()));
        return Optional.of(new RelayHost(picked.host(), picked.peers()));
    }

    @Override
    public void failed(HostId host) {
        avoidedUntilMillis.put(host, context.loop().nowMillis() + FAILURE_BACKOFF_MILLIS);
    }
}
