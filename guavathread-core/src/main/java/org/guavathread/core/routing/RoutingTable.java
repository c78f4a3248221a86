package org.guavathread.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * An immutable version of the configuration, indexed for routing.
 *
 * <pre>{@code
 * Optional<RouteRule> rule = table.route("shop.example", "/orders/17");
 * }</pre>
 */
public final class RoutingTable {

    /** Limits until others are published: 16 KiB of head within 10 s, 4 MiB of body, 60 s of idle time. */
    public static final CallerBounds DEFAULT_BOUNDS = new CallerBounds(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);

    /**
     * Priority of requests as it is published.
     *
     * @param first priority of the workspace if it has one, otherwise that of the route
     * @param ofRoute priority of the route
     */
    private record PublishedPriority(Priority first, Priority ofRoute) implements Comparable<PublishedPriority> {

        private static PublishedPriority of(RouteRule rule, Optional<Priority> ofWorkspace) {
            return new PublishedPriority(ofWorkspace.orElse(rule.priority()), rule.priority());
        }

        @Override
        public int compareTo(PublishedPriority other) {
            int byFirst = first.compareTo(other.first);
            return byFirst != 0 ? byFirst : ofRoute.compareTo(other.ofRoute);
        }
    }

    private final long version;
    private final Map<String, Map<String, RouteRule>> byHost = new HashMap<>();
    private final Map<ServiceName, ServiceTerms> services = new HashMap<>();
    private final List<WorkspaceTerms> workspaces;
    private final Map<String, WorkspaceTerms> byKey = new HashMap<>();
    private final Map<ServiceName, List<PublishedPriority>> ranks;
    private final CallerBounds bounds;

    private RoutingTable(Builder values) {
        version = values.version;
        bounds = values.bounds;
        workspaces = List.copyOf(values.workspaces);
        for (RouteRule rule : values.routes) {
            byHost.computeIfAbsent(rule.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(rule.prefix(), rule);
        }
        values.services.forEach(terms -> services.put(terms.name(), terms));
        ranks = ranks(values.routes);
        workspaces.forEach(terms -> terms.apiKeys().forEach(key -> byKey.put(key, terms)));
    }

    /**
     * Returns a builder.
     *
     * @param version its version; larger ones replace smaller ones
     * @return the builder
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerBounds bounds() {
        return bounds;
    }

    /**
     * Finds the route of a request: among the routes of the host, the one with the longest prefix of the path.
     *
     * @param host the {@code Host} header, without port
     * @param path the path without query
     * @return the route, or empty if none matches
     */
    public Optional<RouteRule> route(String host, String path) {
        Map<String, RouteRule> rules = byHost.getOrDefault(host.toLowerCase(Locale.ROOT), Map.of());
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            RouteRule rule = rules.get(path.substring(0, end + 1));
            if (rule != null) {
                return Optional.of(rule);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the homes of the routes of a host.
     *
     * @param host the {@code Host} header, without port
     * @return the homes of each route
     */
    public List<HomeRegions> homesAt(String host) {
        return byHost.getOrDefault(host.toLowerCase(Locale.ROOT), Map.of()).values().stream()
                .map(RouteRule::homes)
                .toList();
    }

    /**
     * Finds the workspace that holds an API key.
     *
     * @param apiKey the key
     * @return the workspace, or empty if no workspace holds the key
     */
    public Optional<WorkspaceTerms> workspaceOf(String apiKey) {
        return Optional.ofNullable(byKey.get(apiKey));
    }

    /**
     * Tells whether requests need an API key, unless their route is open.
     *
     * @return true if the configuration names workspaces
     */
    public boolean requiresKeys() {
        return !workspaces.isEmpty();
    }

    /**
     * Ranks a request among those of its service: by the priority of its workspace, which goes before that of its route, and
     * between requests of equal priority by that of the route.
     *
     * @param service the service that serves the request
     * @param rule the route of the request
     * @param workspace the workspace of the request
     * @return the rank, 0 for the most urgent requests; empty if all requests of the service have the same one
     */
    public Optional<Priority> priorityOf(ServiceName service, RouteRule rule, Optional<WorkspaceTerms> workspace) {
        int rank = ranks.getOrDefault(service, List.of())
                .indexOf(PublishedPriority.of(rule, workspace.flatMap(WorkspaceTerms::priority)));
        return rank < 0 ? Optional.empty() : Optional.of(new Priority(rank));
    }

    /** Returns the priorities of each service whose requests have different ones, the most urgent first. */
    private Map<ServiceName, List<PublishedPriority>> ranks(List<RouteRule> routes) {
        Set<Optional<Priority>> ofWorkspaces =
                workspaces.stream().map(WorkspaceTerms::priority).collect(Collectors.toSet());
        Map<ServiceName, SortedSet<PublishedPriority>> priorities = new HashMap<>();
        for (RouteRule rule : routes) {
            for (RouteRule.Target target : rule.targets()) {
                Set<PublishedPriority> found = priorities.computeIfAbsent(target.service(), each -> new TreeSet<>());
                if (workspaces.isEmpty() || rule.open()) {
                    found.add(PublishedPriority.of(rule, Optional.empty()));
                }
                ofWorkspaces.forEach(priority -> found.add(PublishedPriority.of(rule, priority)));
            }
        }
        return priorities.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> List.copyOf(e.getValue())));
    }

    /**
     * Returns all workspaces.
     *
     * @return the workspaces
     */
    public List<WorkspaceTerms> workspaces() {
        return workspaces;
    }

    /**
     * Returns all services.
     *
     * @return the settings of each service
     */
    public List<ServiceTerms> services() {
        return List.copyOf(services.values());
    }

    /**
     * Finds the settings of a service.
     *
     * @param name the service
     * @return its settings, or empty if it is not published
     */
    public Optional<ServiceTerms> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Builds a table. */
    public static final class Builder {

        private final long version;
        private final List<RouteRule> routes = new ArrayList<>();
        private final List<ServiceTerms> services = new ArrayList<>();
        private final List<WorkspaceTerms> workspaces = new ArrayList<>();
        private CallerBounds bounds = DEFAULT_BOUNDS;

        private Builder(long version) {
            this.version = version;
        }

        /**
         * Adds a route.
         *
         * @param rule the route
         * @return this builder
         */
        public Builder route(RouteRule rule) {
            routes.add(rule);
            return this;
        }

        /**
         * Adds a service.
         *
         * @param terms the service
         * @return this builder
         */
        public Builder service(ServiceTerms terms) {
            services.add(terms);
            return this;
        }

        /**
         * Adds a workspace.
         *
         * @param terms the workspace
         * @return this builder
         */
        public Builder workspace(WorkspaceTerms terms) {
            workspaces.add(terms);
            return this;
        }

        /**
         * Sets the limits on callers' requests.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder bounds(CallerBounds value) {
            bounds = value;
            return this;
        }

        /**
         * Builds the table.
         *
         * @return the table
         */
        public RoutingTable build() {
            return new RoutingTable(this);
        }
    }
}
