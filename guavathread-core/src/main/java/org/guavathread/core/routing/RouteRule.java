package org.guavathread.core.routing;

import java.util.List;

import org.guavathread.core.id.RouteId;

/**
 * A route: the requests that it matches, and the guarantees, targets and services that apply to them.
 *
 * @param id name of the route
 * @param host value of the {@code Host} header that it matches
 * @param prefix prefix of the paths that it matches; begins and ends with a slash
 * @param kind execution guarantee and response mode of its requests
 * @param timeoutMillis timeout of a request, in milliseconds
 * @param targetMillis latency target of an answer, or of the first event of a stream, in milliseconds
 * @param maxPauseMillis target for the longest gap between two events of a stream, in milliseconds
 * @param targets the services that serve it, with their weights
 * @param maxRuns maximum number of backend servers that may run one request
 * @param open whether it accepts callers without an API key
 * @param resumable whether its streams can be resumed on another backend server
 */
public record RouteRule(
        RouteId id,
        String host,
        String prefix,
        CallKind kind,
        long timeoutMillis,
        long targetMillis,
        long maxPauseMillis,
        List<Target> targets,
        int maxRuns,
        boolean open,
        boolean resumable) {

    /** Copies the targets. */
    public RouteRule {
        targets = List.copyOf(targets);
    }

    /**
     * A service with its weight in the route's traffic split.
     *
     * @param service the service
     * @param weight its share, relative to the other targets
     */
    public record Target(ServiceName service, int weight) {}

    /**
     * Tells whether a request that may have run can be sent to another backend server.
     *
     * @return true if a second run is allowed
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Selects a service at random, by weight.
     *
     * @param draw a random number from 0 (included) to 1 (excluded)
     * @return the service
     */
    public ServiceName pick(double draw) {
        int total = targets.stream().mapToInt(Target::weight).sum();
        double remaining = draw * total;
        for (Target target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
