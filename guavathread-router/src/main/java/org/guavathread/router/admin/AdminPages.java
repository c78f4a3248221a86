package org.guavathread.router.admin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;

import org.guavathread.core.config.Acceptance;
import org.guavathread.core.config.AuditRecord;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.limit.HomeHosts;
import org.guavathread.core.sheet.Route;
import org.guavathread.core.sheet.Workspace;
import org.guavathread.core.time.Clock;
import org.guavathread.router.admin.AdminServer.Probe;
import org.guavathread.router.admin.AdminServer.Query;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.fleet.MembershipService;
import org.guavathread.router.flow.ActiveRequests;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.metrics.RouterMetrics.LabelledValue;
import org.guavathread.router.metrics.WorkspaceUsage;
import org.guavathread.router.service.ConfigurationService;
import org.guavathread.router.service.DrainService;
import org.guavathread.router.service.PlacementService;
import org.guavathread.router.settings.DaemonSettings;

/** Builds the answers of the admin pages. */
public final class AdminPages {

    private static final long PAGE_TIMEOUT_MILLIS = 2_000;

    private final DaemonSettings settings;
    private final Incarnation incarnation;
    private final FleetState fleet;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final PlacementService placement;
    private final ActiveRequests active;
    private final WorkspaceUsage usage;
    private final DrainService drain;
    private final RouterMetrics metrics;
    private final Clock clock;

    /**
     * Builds the pages of a daemon.
     *
     * @param settings settings of the daemon
     * @param incarnation identifies the run of this process
     * @param fleet the current view of the fleet
     * @param membership knows the peers
     * @param configuration knows the sheet
     * @param placement knows the engines
     * @param active the requests in progress
     * @param usage admitted and refused requests of each workspace
     * @param drain tells whether the host is shutting down
     * @param metrics registers the gauges
     * @param clock source of the time
     */
    public AdminPages(
            DaemonSettings settings,
            Incarnation incarnation,
            FleetState fleet,
            MembershipService membership,
            ConfigurationService configuration,
            PlacementService placement,
            ActiveRequests active,
            WorkspaceUsage usage,
            DrainService drain,
            RouterMetrics metrics,
            Clock clock) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.membership = membership;
        this.configuration = configuration;
        this.placement = placement;
        this.active = active;
        this.usage = usage;
        this.drain = drain;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Gives the pages by path.
     *
     * @return the pages
     */
    public Map<String, Function<Query, Object>> pages() {
        return Map.of(
                "/status", query -> status(),
                "/workspaces", query -> workspaces(),
                "/backends", query -> answerOf(placement.figures()).engines(),
                "/audit", query -> audit(),
                "/explain", this::explain,
                "/healthz", query -> new Probe(true, "the process runs"),
                "/readyz", query -> ready());
    }

    /**
     * Registers the gauges, which are read from the services.
     *
     * @param backlogs number of tasks in the inbox of each duty, by the name of the duty
     */
    public void registerGauges(Map<String, IntSupplier> backlogs) {
        List<LabelledValue> values = new ArrayList<>();
        backlogs.forEach((name, value) -> values.add(new LabelledValue(name, value::getAsInt)));
        metrics.labelledGauge("guavathread_inbox_tasks", "Tasks that wait for a duty.", "duty", values);
        metrics.gauge(
                "guavathread_sheet_version",
                "Version of the sheet in force.",
                () -> fleet.now().sheet().version().value());
        metrics.gauge(
                "guavathread_cell_queued_requests",
                "Requests of any host that wait in the cells of this host.",
                placement::queuedRequests);
        metrics.gauge(
                "guavathread_cell_reservations",
                "Reservations of any host in the cells of this host.",
                placement::openReservations);
        metrics.gauge(
                "guavathread_worst_workspace_admitted_share",
                "Share of its requests that the worst-served workspace got admitted here since the start, 0 to 1.",
                this::worstAdmittedShare);
        metrics.gauge(
                "guavathread_sheet_age_seconds", "Time since the sheet in force was accepted here.", this::sheetAge);
        metrics.gauge("guavathread_active_requests", "Requests that were accepted and have not ended.", active::count);
        metrics.gauge(
                "guavathread_suspect_peers",
                "Hosts that do not answer.",
                () -> fleet.now().suspect().size());
        metrics.gauge(
                "guavathread_lease_held",
                "1 while this host holds its epoch lease.",
                () -> fleet.now().epochs().holdsLease(clock.nowMillis()) ? 1 : 0);
        metrics.gauge(
                "guavathread_isolated", "1 while this host hears nobody.", () -> configuration.isIsolated() ? 1 : 0);
        metrics.gauge("guavathread_draining", "1 while this host is shutting down.", () -> drain.isDraining() ? 1 : 0);
    }

    private double worstAdmittedShare() {
        List<WorkspaceUsage.Row> rows = usage.rows();
        return rows.isEmpty() ? 1 : rows.get(0).admittedShare();
    }

    private double sheetAge() {
        long at = configuration.acceptedAtMillis();
        return at == 0 ? Double.NaN : (clock.nowMillis() - at) / 1_000.0;
    }

    private Object status() {
        FleetSnapshot now = fleet.now();
        PlacementService.Figures figures = answerOf(placement.figures());
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("host", settings.hostId().value());
        status.put("dataCentre", settings.dataCentre().value());
        status.put("incarnation", incarnation.startedAtMillis());
        status.put("sheetVersion", now.sheet().version().value());
        status.put("sheetAgeSeconds", now.hasSheet() ? sheetAge() : null);
        status.put("listed", now.sheet().hosts().containsKey(settings.hostId()));
        status.put("ready", ready().ok());
        status.put("draining", drain.isDraining());
        status.put("isolated", configuration.isIsolated());
        status.put("epoch", now.epochs().current().epoch().value());
        status.put("leaseHeld", now.epochs().holdsLease(clock.nowMillis()));
        status.put("epochSettled", now.epochs().isSettled(clock.nowMillis()));
        status.put("activeRequests", active.count());
        status.put("ownedCells", figures.ownedCells());
        status.put("queuedRequests", figures.queued());
        status.put("reservations", figures.reservations());
        status.put("peers", answerOf(membership.peers()));
        return status;
    }

    private Probe ready() {
        if (drain.isDraining()) {
            return new Probe(false, "the host is draining");
        }
        if (!configuration.isServing()) {
            return new Probe(false, "no sheet is in force yet");
        }
        if (!fleet.now().sheet().hosts().containsKey(settings.hostId())) {
            return new Probe(false, "the sheet in force does not list this host; check --host-id");
        }
        if (!fleet.now().epochs().holdsLease(clock.nowMillis())) {
            return new Probe(false, "the host does not hold its epoch lease yet");
        }
        if (configuration.isIsolated()) {
            return new Probe(false, "the host hears neither the configuration service nor any peer");
        }
        return new Probe(true, "the host serves callers");
    }

    private Object workspaces() {
        Map<String, WorkspaceUsage.Row> rows = new LinkedHashMap<>();
        usage.rows().forEach(row -> rows.put(row.workspace(), row));
        List<Map<String, Object>> answer = new ArrayList<>();
        for (WorkspaceUsage.Row row : rows.values()) {
            Workspace workspace = fleet.now().sheet().workspaces().get(new WorkspaceId(row.workspace()));
            answer.add(Map.of(
                    "workspace", row.workspace(),
                    "ratePerSecond", workspace == null ? 0 : workspace.ratePerSecond(),
                    "burst", workspace == null ? 0 : workspace.burst(),
                    "admitted", row.admitted(),
                    "admittedTokens", row.admittedTokens(),
                    "refused", row.refused(),
                    "rateLimited", row.rateLimited(),
                    "admittedShare", row.admittedShare()));
        }
        return answer;
    }

    private Object audit() {
        ConfigurationService.Report report = answerOf(configuration.report());
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("version", report.version());
        answer.put("digest", report.digest());
        answer.put("acceptedAtMillis", report.acceptedAtMillis());
        answer.put("refused", report.refused().map(AdminPages::refusedSheet).orElse(null));
        answer.put(
                "changes", report.audit().stream().map(AdminPages::auditRecord).toList());
        return answer;
    }

    private static Map<String, Object> refusedSheet(Acceptance.Refused refused) {
        return Map.of(
                "version", refused.version(),
                "source", refused.source(),
                "faults", refused.faults().stream().map(Object::toString).toList());
    }

    private static Map<String, Object> auditRecord(AuditRecord record) {
        return Map.of(
                "version", record.version().value(),
                "previous", record.previous().value(),
                "digest", record.digest(),
                "source", record.source(),
                "atMillis", record.atMillis(),
                "changes", record.changes().stream().map(Object::toString).toList());
    }

    private Object explain(Query query) {
        if (!query.parameter("request").isEmpty()) {
            RequestId id = new RequestId(query.parameter("request"));
            return Map.of("request", id.value(), "steps", active.traces().of(id));
        }
        if (!query.parameter("workspace").isEmpty()) {
            return explainWorkspace(new WorkspaceId(query.parameter("workspace")));
        }
        if (!query.parameter("route").isEmpty()) {
            return explainRoute(new RouteId(query.parameter("route")));
        }
        return Map.of("error", "Give one of the parameters request, workspace or route.");
    }

    private Object explainWorkspace(WorkspaceId id) {
        FleetSnapshot now = fleet.now();
        Workspace workspace = now.sheet().workspaces().get(id);
        if (workspace == null) {
            return Map.of("error", "The sheet in force lists no workspace \"" + id + "\".");
        }
        List<String> homes = HomeHosts.of(workspace, now.sheet(), now.epochs().current()).stream()
                .map(h -> h.value() + (now.isLive(h) ? "" : " (not live)"))
                .toList();
        return Map.of(
                "workspace", id.value(),
                "ratePerSecond", workspace.ratePerSecond(),
                "burst", workspace.burst(),
                "keys", workspace.keys().size(),
                "homeHosts", homes);
    }

    private Object explainRoute(RouteId id) {
        Route route = fleet.now().sheet().routes().get(id);
        if (route == null) {
            return Map.of("error", "The sheet in force lists no route \"" + id + "\".");
        }
        List<String> servers = route.backendServers().stream()
                .map(s -> s + " "
                        + fleet.now().sheet().backendServers().get(s).state().sheetName())
                .toList();
        return Map.of(
                "route", id.value(),
                "path", route.path(),
                "kind", route.kind().sheetName(),
                "mayBeRetried", route.kind().isRepeatable(),
                "open", route.open(),
                "models", route.models().stream().map(Object::toString).toList(),
                "backendServers", servers);
    }

    private static <T> T answerOf(CompletableFuture<T> future) {
        return future.orTimeout(PAGE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }
}
