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
 * @param priority its priority, unless the workspace has one
 * @param homes the regions that its requests may reach
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
        boolean resumable,
        Priority priority,
        HomeRegions homes) {

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

    /**
     * Returns a builder.
     *
     * @param id name of the route
     * @param kind execution guarantee and response mode of its requests
     * @return the builder
     */
    public static Builder builder(RouteId id, CallKind kind) {
        return new Builder(id, kind);
    }

    /** Builds a route. */
    public static final class Builder {

        private static final long DEFAULT_MILLIS = 1_000;

        private final RouteId id;
        private final CallKind kind;
        private String host = "";
        private String prefix = "/";
        private long timeoutMillis = DEFAULT_MILLIS;
        private long targetMillis = DEFAULT_MILLIS;
        private long maxPauseMillis = DEFAULT_MILLIS;
        private List<Target> targets = List.of();
        private int maxRuns = 1;
        private boolean open;
        private boolean resumable;
        private Priority priority = Priority.DEFAULT;
        private HomeRegions homes = HomeRegions.ANY;

        private Builder(RouteId id, CallKind kind) {
            this.id = id;
            this.kind = kind;
        }

        /**
         * Sets which requests the route matches.
         *
         * @param host value of the {@code Host} header
         * @param prefix prefix of the paths
         * @return this builder
         */
        public Builder matches(String host, String prefix) {
            this.host = host;
            this.prefix = prefix;
            return this;
        }

        /**
         * Sets the time limits.
         *
         * @param timeoutMillis timeout of a request
         * @param targetMillis latency target
         * @param maxPauseMillis target for the longest gap between two events
         * @return this builder
         */
        public Builder times(long timeoutMillis, long targetMillis, long maxPauseMillis) {
            this.timeoutMillis = timeoutMillis;
            this.targetMillis = targetMillis;
            this.maxPauseMillis = maxPauseMillis;
            return this;
        }

        /**
         * Sets the services.
         *
         * @param targets the services with their weights
         * @return this builder
         */
        public Builder targets(List<Target> targets) {
            this.targets = targets;
            return this;
        }

        /**
         * Sets the maximum number of backend servers that may run one request.
         *
         * @param maxRuns the number
         * @return this builder
         */
        public Builder maxRuns(int maxRuns) {
            this.maxRuns = maxRuns;
            return this;
        }

        /**
         * Sets whether the route accepts callers without an API key.
         *
         * @param open true if it does
         * @return this builder
         */
        public Builder open(boolean open) {
            this.open = open;
            return this;
        }

        /**
         * Sets whether streams can be resumed on another backend server.
         *
         * @param resumable true if they can
         * @return this builder
         */
        public Builder resumable(boolean resumable) {
            this.resumable = resumable;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param priority the priority
         * @return this builder
         */
        public Builder priority(Priority priority) {
            this.priority = priority;
            return this;
        }

        /**
         * Sets the regions that requests may reach.
         *
         * @param homes the regions
         * @return this builder
         */
        public Builder homes(HomeRegions homes) {
            this.homes = homes;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route
         */
        public RouteRule build() {
            return new RouteRule(
                    id,
                    host,
                    prefix,
                    kind,
                    timeoutMillis,
                    targetMillis,
                    maxPauseMillis,
                    targets,
                    maxRuns,
                    open,
                    resumable,
                    priority,
                    homes);
        }
    }
}
