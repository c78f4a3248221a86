package org.guavathread.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.sheet.BackendServer;

/**
 * Chooses the plain service for a call. Prefers services without a recent failure, then those with the fewest running
 * calls of this host, then those in the same data centre.
 *
 * <pre>{@code
 * Optional<BackendServer> server = selector.choose(candidates, Set.of(), now);
 * selector.started(server.get().id());
 * }</pre>
 */
public final class ServiceSelector {

    /** For this long after a failure a service is chosen only as the last resort; it may be restarting. */
    private static final long AVOID_AFTER_FAILURE_MILLIS = 2_000;

    private final DataCentreId dataCentre;
    private final Map<BackendServerId, Integer> running = new HashMap<>();
    private final Map<BackendServerId, Long> avoidUntilMillis = new HashMap<>();

    /**
     * Creates an instance without recorded calls.
     *
     * @param dataCentre the data centre of this host
     */
    public ServiceSelector(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Chooses a service.
     *
     * @param candidates the services of the route
     * @param tried services to which this request was already sent
     * @param nowMillis the current time
     * @return the service, or empty if no active one is left
     */
    public Optional<BackendServer> choose(List<BackendServer> candidates, Set<BackendServerId> tried, long nowMillis) {
        Comparator<BackendServer> byFailure =
                Comparator.comparing(s -> avoidUntilMillis.getOrDefault(s.id(), 0L) > nowMillis);
        return candidates.stream()
                .filter(BackendServer::isActive)
                .filter(s -> !tried.contains(s.id()))
                .min(byFailure
                        .thenComparing(s -> running.getOrDefault(s.id(), 0))
                        .thenComparing(s -> !s.dataCentre().equals(dataCentre))
                        .thenComparing(BackendServer::id));
    }

    /**
     * Records the start of a call.
     *
     * @param server the service
     */
    public void started(BackendServerId server) {
        running.merge(server, 1, Integer::sum);
    }

    /**
     * Records the end of a call.
     *
     * @param server the service
     * @param failed whether the service closed the connection early or did not answer
     * @param nowMillis the current time
     */
    public void ended(BackendServerId server, boolean failed, long nowMillis) {
        running.computeIfPresent(server, (id, calls) -> calls > 1 ? calls - 1 : null);
        if (failed) {
            avoidUntilMillis.put(server, nowMillis + AVOID_AFTER_FAILURE_MILLIS);
        } else {
            avoidUntilMillis.remove(server);
        }
    }
}
