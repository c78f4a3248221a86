package org.guavathread.core.sheet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;

/** One valid version of the sheet, indexed by name. Immutable. */
public final class Sheet {

    private final SheetVersion version;
    private final String publishedAt;
    private final int claimRetentionSeconds;
    private final Map<DataCentreId, DataCentre> dataCentres;
    private final Map<HostId, Host> hosts;
    private final Map<WorkspaceId, Workspace> workspaces;
    private final Map<ModelId, Model> models;
    private final Map<BackendServerId, BackendServer> backendServers;
    private final Map<RouteId, Route> routes;
    private final Map<String, Route> routesByPath;

    private Sheet(Builder builder) {
        version = builder.version;
        publishedAt = builder.publishedAt;
        claimRetentionSeconds = builder.claimRetentionSeconds;
        dataCentres = index(builder.dataCentres, DataCentre::id);
        hosts = index(builder.hosts, Host::id);
        workspaces = index(builder.workspaces, Workspace::id);
        models = index(builder.models, Model::id);
        backendServers = index(builder.backendServers, BackendServer::id);
        routes = index(builder.routes, Route::id);
        routesByPath = index(builder.routes, Route::path);
    }

    /**
     * Creates a builder.
     *
     * @return a builder whose lists are empty
     */
    public static Builder builder() {
        return new Builder();
    }

    private static <K, V> Map<K, V> index(List<V> values, Function<V, K> keyOf) {
        Map<K, V> map = new LinkedHashMap<>();
        for (V value : values) {
            map.put(keyOf.apply(value), value);
        }
        return java.util.Collections.unmodifiableMap(map);
    }

    public SheetVersion version() {
        return version;
    }

    /**
     * Returns the publication time given in the sheet.
     *
     * @return an ISO 8601 instant, or an empty text
     */
    public String publishedAt() {
        return publishedAt;
    }

    /**
     * Returns how long claims of idempotency keys are kept.
     *
     * @return seconds
     */
    public int claimRetentionSeconds() {
        return claimRetentionSeconds;
    }

    public Map<DataCentreId, DataCentre> dataCentres() {
        return dataCentres;
    }

    public Map<HostId, Host> hosts() {
        return hosts;
    }

    public Map<WorkspaceId, Workspace> workspaces() {
        return workspaces;
    }

    public Map<ModelId, Model> models() {
        return models;
    }

    public Map<BackendServerId, BackendServer> backendServers() {
        return backendServers;
    }

    public Map<RouteId, Route> routes() {
        return routes;
    }

    /**
     * Returns the hosts whose state is active; only these own keys.
     *
     * @return the active hosts in the order of the sheet
     */
    public List<Host> activeHosts() {
        return hosts.values().stream().filter(Host::isActive).toList();
    }

    /**
     * Finds the route of a path.
     *
     * @param path the path without its query
     * @return the route, or empty if no route has this path
     */
    public Optional<Route> routeByPath(String path) {
        return Optional.ofNullable(routesByPath.get(path));
    }

    /**
     * Finds the region of a data centre.
     *
     * @param dataCentre the data centre
     * @return the region, or empty if the sheet does not list the data centre
     */
    public Optional<RegionId> regionOf(DataCentreId dataCentre) {
        return Optional.ofNullable(dataCentres.get(dataCentre)).map(DataCentre::region);
    }

    /** Two sheets are equal if they have the same version and the same entries, in any order. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Sheet that
                && version.equals(that.version)
                && publishedAt.equals(that.publishedAt)
                && claimRetentionSeconds == that.claimRetentionSeconds
                && dataCentres.equals(that.dataCentres)
                && hosts.equals(that.hosts)
                && workspaces.equals(that.workspaces)
                && models.equals(that.models)
                && backendServers.equals(that.backendServers)
                && routes.equals(that.routes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, hosts, workspaces, backendServers, routes);
    }

    @Override
    public String toString() {
        return "sheet " + version;
    }

    /** Builder of a sheet; a later call of a setter replaces the earlier value. */
    public static final class Builder {

        /** Covers the retries of callers, and lets a restarted voter vote again within minutes. */
        public static final int DEFAULT_CLAIM_RETENTION_SECONDS = 300;

        private SheetVersion version = SheetVersion.NONE;
        private String publishedAt = "";
        private int claimRetentionSeconds = DEFAULT_CLAIM_RETENTION_SECONDS;
        private List<DataCentre> dataCentres = List.of();
        private List<Host> hosts = List.of();
        private List<Workspace> workspaces = List.of();
        private List<Model> models = List.of();
        private List<BackendServer> backendServers = List.of();
        private List<Route> routes = List.of();

        private Builder() {}

        public Builder version(SheetVersion value) {
            version = value;
            return this;
        }

        public Builder publishedAt(String value) {
            publishedAt = value;
            return this;
        }

        public Builder claimRetentionSeconds(int value) {
            claimRetentionSeconds = value;
            return this;
        }

        public Builder dataCentres(List<DataCentre> value) {
            dataCentres = List.copyOf(value);
            return this;
        }

        public Builder hosts(List<Host> value) {
            hosts = List.copyOf(value);
            return this;
        }

        public Builder workspaces(List<Workspace> value) {
            workspaces = List.copyOf(value);
            return this;
        }

        public Builder models(List<Model> value) {
            models = List.copyOf(value);
            return this;
        }

        public Builder backendServers(List<BackendServer> value) {
            backendServers = List.copyOf(value);
            return this;
        }

        public Builder routes(List<Route> value) {
            routes = List.copyOf(value);
            return this;
        }

        /**
         * Builds the sheet.
         *
         * @return the sheet; references between its entries are checked by {@code SheetReader}, not here
         */
        public Sheet build() {
            return new Sheet(this);
        }
    }
}
