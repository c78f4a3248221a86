package org.guavathread.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;

/**
 * Keeps some engines free for urgent requests, so that a burst of less urgent ones cannot fill all of them before the next
 * urgent one arrives. Less urgent requests do not use these
 * engines at all: hosts know the load of an engine some hundred milliseconds late, so together they would exceed any part of
 * it that they may fill. Hosts choose the same engines by rendezvous hashing; the number of engines follows the recent demand
 * of the more urgent requests, and none is kept if an urgent request displaces many others. A host that hears nothing keeps engines for its own urgent requests only. Not thread-safe.
 */
public final class KeptRoom {

    /** Part of the engines that is kept at most, so that less urgent requests are served as well. */
    private static final double MAX_KEPT_SHARE = 0.5;

    /** Less urgent requests that one urgent request may displace; the callers of more of them would pay for it. */
    private static final double MAX_DISPLACED = 3;

    /**
     * Part of the memory of a kept engine that urgent requests fill: hosts learn some hundred milliseconds late that one of
     * them has ended.
     */
    private static final double PLANNED_UTILISATION = 0.7;

    /** Room that is kept as a multiple of the average demand, around which the number of requests varies. */
    private static final double MARGIN = 1.5;

    private record KeptEngines(List<BackendServerId> engines, int count, Set<BackendServerId> kept) {}

    private final PriorityDemand demand;
    private final Map<ServiceName, KeptEngines> latest = new HashMap<>();

    /**
     * Creates the decision.
     *
     * @param demand requests of all hosts by priority
     */
    public KeptRoom(PriorityDemand demand) {
        this.demand = demand;
    }

    /**
     * Returns how far a request may fill the engines of its service.
     *
     * @param service the service
     * @param priority priority of the request
     * @param engines the engines that generate answers for the service
     * @param memoryTokens tokens that the memory of one engine holds
     * @return the limit for each engine
     */
    public RoomLimit limitFor(ServiceName service, Priority priority, List<Worker> engines, int memoryTokens) {
        PriorityDemand.Demand urgent = demand.moreUrgentThan(service, priority);
        if (urgent.requests() == 0) {
            return RoomLimit.NONE_KEPT;
        }
        double requestsOfAnEngine =
                Math.max(1, Math.floor(PLANNED_UTILISATION * memoryTokens / Math.max(1, urgent.tokens())));
        int wanted = (int) Math.ceil(MARGIN * urgent.requests() / requestsOfAnEngine);
        int count = Math.min((int) (MAX_KEPT_SHARE * engines.size()), wanted);
        double tokens = demand.of(service, priority).tokens();
        if (count == 0 || urgent.tokens() > MAX_DISPLACED * tokens) {
            latest.remove(service);
            return RoomLimit.NONE_KEPT;
        }
        Set<BackendServerId> kept =
                kept(service, engines.stream().map(Worker::id).toList(), count);
        return engine -> kept.contains(engine) ? 0 : RoomLimit.MAX_UTILISATION;
    }

    /**
     * Returns how many engines were kept when the latest less urgent request was placed.
     *
     * @param service the service
     * @return number of engines
     */
    public int keptEngines(ServiceName service) {
        KeptEngines known = latest.get(service);
        return known == null ? 0 : known.count();
    }

    private Set<BackendServerId> kept(ServiceName service, List<BackendServerId> engines, int count) {
        KeptEngines known = latest.get(service);
        if (known == null || known.count() != count || !known.engines().equals(engines)) {
            List<BackendServerId> ranked = RendezvousHash.rank(service.value(), engines, BackendServerId::value);
            known = new KeptEngines(engines, count, Set.copyOf(ranked.subList(0, count)));
            latest.put(service, known);
        }
        return known.kept();
    }
}
