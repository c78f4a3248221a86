package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.ServiceTerms;
import org.guavathread.core.routing.ServiceTerms.ColdTerms;

/**
 * Which backend servers are cold, by what they state of themselves and by the start of their processes. The load that it
 * answers is a data centre whose servers all return cold and empty during a burst: every host prefers them at once.
 *
 * <p>Only servers of services with {@link ColdTerms} are ever cold. Each source can extend the time for which a server is
 * cold, and none can end it early, so that the order of late messages does not matter.
 */
public final class ColdServers {

    /** Maximum difference between the clocks of a host and a server, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    /** What a host knows of a server. */
    public enum Warmth {
        /** Warm, or of a service whose servers are never cold. */
        WARM,
        /** Possibly cold, since this host does not hear of changes now, or cannot connect to the server. */
        UNKNOWN,
        /** Cold. */
        COLD
    }

    /**
     * What all hosts together may send to a cold server.
     *
     * @param overshoot multiple of the service's rate for cold servers that is tolerated in one second
     * @param extraRequests requests tolerated beyond that
     */
    public record Tolerance(double overshoot, double extraRequests) {

        /** Part of the tolerance that is granted; the rest is for hosts that have not heard that a server is cold. */
        private static final double GRANTED_SHARE = 0.75;

        /**
         * Returns the requests to a cold server that may be granted in one second.
         *
         * @param perSecond the service's rate for cold servers
         * @return requests
         */
        double grantedPerSecond(double perSecond) {
            return GRANTED_SHARE * (overshoot * perSecond + extraRequests);
        }
    }

    private record Seen(ServerProcess process, long atMillis) {}

    private final Optional<Tolerance> tolerance;
    private final Map<ServiceName, ColdTerms> terms = new HashMap<>();
    private final Map<BackendServerId, Seen> seen = new HashMap<>();
    private final Map<BackendServerId, Long> coldUntilMillis = new HashMap<>();
    private final Set<BackendServerId> unreached = new HashSet<>();
    private boolean hearsOfChanges = true;

    /**
     * Creates the record.
     *
     * @param tolerance what a cold server tolerates; without it, no server is ever cold
     */
    public ColdServers(Optional<Tolerance> tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Applies the configuration and the entries of the servers.
     *
     * @param services published settings of the services
     * @param servers the servers that exist
     * @param nowMillis the current time
     */
    public void update(Collection<ServiceTerms> services, Collection<Worker> servers, long nowMillis) {
        terms.clear();
        if (tolerance.isPresent()) {
            services.forEach(s -> s.cold().ifPresent(cold -> terms.put(s.name(), cold)));
        }
        Set<BackendServerId> present = new HashSet<>();
        for (Worker server : servers) {
            ColdTerms cold = terms.get(server.service());
            if (cold != null) {
                present.add(server.id());
                coldUntil(server.id(), Math.max(server.coldUntilMillis(), startUntilMillis(server, cold, nowMillis)));
            }
        }
        seen.keySet().retainAll(present);
        unreached.retainAll(present);
        coldUntilMillis.entrySet().removeIf(e -> !present.contains(e.getKey()) || e.getValue() <= nowMillis);
    }

    /** Returns until when a process is cold because of its start, whatever its entry states. */
    private long startUntilMillis(Worker server, ColdTerms cold, long nowMillis) {
        Seen before = seen.get(server.id());
        if (before == null || !before.process().equals(server.process())) {
            before = new Seen(server.process(), nowMillis);
            seen.put(server.id(), before);
        }
        long byEntryMillis = before.atMillis() + cold.coldMillis();
        return server.startedAtMillis() == 0
                ? byEntryMillis
                : Math.min(byEntryMillis, server.startedAtMillis() + cold.coldMillis() + MAX_CLOCK_DIFFERENCE_MILLIS);
    }

    /**
     * Records that a server is cold, or may be.
     *
     * @param server the server
     * @param untilMillis when it is warm again
     */
    public void coldUntil(BackendServerId server, long untilMillis) {
        coldUntilMillis.merge(server, untilMillis, Math::max);
    }

    /**
     * Records that servers may have become cold without this host's knowledge, such as those of a data centre that is
     * taken back.
     *
     * @param servers the servers
     * @param nowMillis the current time
     */
    public void mayHaveBecomeCold(Collection<Worker> servers, long nowMillis) {
        for (Worker server : servers) {
            ColdTerms cold = terms.get(server.service());
            if (cold != null) {
                coldUntil(server.id(), nowMillis + cold.coldMillis());
            }
        }
    }

    /**
     * Records that no connection to a server could be opened: when one can, another process may have begun.
     *
     * @param server the server
     */
    public void notConnected(Worker server) {
        if (terms.containsKey(server.service())) {
            unreached.add(server.id());
        }
    }

    /**
     * Records that a server has answered.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void connected(Worker server, long nowMillis) {
        if (unreached.remove(server.id())) {
            mayHaveBecomeCold(List.of(server), nowMillis);
        }
    }

    /**
     * Sets whether this host hears of changes of the entries.
     *
     * @param hears false while the source of the entries is out of reach
     */
    public void hearsOfChanges(boolean hears) {
        hearsOfChanges = hears;
    }

    /**
     * Returns what is known of a server.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return its warmth
     */
    public Warmth warmthOf(Worker server, long nowMillis) {
        if (!terms.containsKey(server.service())) {
            return Warmth.WARM;
        }
        if (nowMillis < Math.max(server.coldUntilMillis(), coldUntilMillis.getOrDefault(server.id(), 0L))) {
            return Warmth.COLD;
        }
        return hearsOfChanges && !unreached.contains(server.id()) ? Warmth.WARM : Warmth.UNKNOWN;
    }

    /**
     * Tells whether a server is known to be cold.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return true if it is cold
     */
    public boolean isCold(Worker server, long nowMillis) {
        return warmthOf(server, nowMillis) == Warmth.COLD;
    }

    /**
     * Filters out the servers that are known to be cold.
     *
     * @param servers the servers
     * @param nowMillis the current time
     * @return the others
     */
    public List<Worker> notCold(Collection<Worker> servers, long nowMillis) {
        return servers.stream().filter(w -> !isCold(w, nowMillis)).toList();
    }

    /**
     * Returns what all hosts together may send to a server.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return requests in one second, or empty if the server is warm
     */
    OptionalDouble grantedPerSecond(Worker server, long nowMillis) {
        return warmthOf(server, nowMillis) == Warmth.WARM
                ? OptionalDouble.empty()
                : OptionalDouble.of(tolerance
                        .orElseThrow()
                        .grantedPerSecond(terms.get(server.service()).requestsPerSecond()));
    }

    /**
     * Returns the number of servers that are known to be cold.
     *
     * @param nowMillis the current time
     * @return servers
     */
    public int size(long nowMillis) {
        return (int) coldUntilMillis.values().stream()
                .filter(until -> nowMillis < until)
                .count();
    }
}
