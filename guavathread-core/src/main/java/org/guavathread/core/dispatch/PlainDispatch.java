package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.Worker;

/**
 * Chooses the backend server of a plain request: the least loaded healthy one by this host's own request count. Ties
 * are broken at random, so that hosts that do not know each other's load do not all choose the same server.
 */
public final class PlainDispatch {

    /** Penalty for a failure rate of 1, in requests in progress. */
    private static final double FAILURE_PENALTY_REQUESTS = 8;

    /** Penalty for another data centre, in requests in progress: the round trip is under a tenth of a service time. */
    private static final double REMOTE_PENALTY_REQUESTS = 0.1;

    private final DataCentreId localDataCentre;
    private final ServerLoads loads;
    private final ServerHealth health;
    private final RandomGenerator random;

    /**
     * Creates a dispatcher.
     *
     * @param localDataCentre data centre of this host
     * @param loads load of the servers
     * @param health failure rates of the servers
     * @param random source of random numbers
     */
    public PlainDispatch(DataCentreId localDataCentre, ServerLoads loads, ServerHealth health, RandomGenerator random) {
        this.localDataCentre = localDataCentre;
        this.loads = loads;
        this.health = health;
        this.random = random;
    }

    /**
     * Chooses the server of a request.
     *
     * @param servers the servers of the service that accept new requests
     * @param tried servers to which this request has already been sent; they are not chosen
     * @param nowMillis the current time
     * @return the server, or empty if there is none
     */
    public Optional<Worker> choose(Collection<Worker> servers, Set<BackendServerId> tried, long nowMillis) {
        List<Worker> untried =
                servers.stream().filter(w -> !tried.contains(w.id())).toList();
        Worker best = null;
        double lowestCost = Double.MAX_VALUE;
        for (Worker worker : health.preferred(untried, nowMillis)) {
            double cost = loads.requests(worker.id())
                    + FAILURE_PENALTY_REQUESTS * health.failureRate(worker.id())
                    + (worker.dataCentre().equals(localDataCentre) ? 0 : REMOTE_PENALTY_REQUESTS)
                    + random.nextDouble() * REMOTE_PENALTY_REQUESTS * 2;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = worker;
            }
        }
        return Optional.ofNullable(best);
    }
}
