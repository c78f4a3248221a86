package org.guavathread.core.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.Model;
import org.guavathread.core.sheet.Sheet;

/**
 * Decides which orders this host sends to the engines for which it is the issuer.
 *
 * <pre>{@code
 * for (Order order : planner.onTick(view, now)) {
 *     if (planner.maySend(order, view(), now())) {   // immediately before the send
 *         engines.send(order);
 *     }
 * }
 * }</pre>
 */
public final class OrderPlanner {

    /** No order is based on a report older than this, because the engine may have changed since. */
    private static final long REPORT_VALID_MILLIS = 5_000;

    /** An order whose effect is not visible in a report by then is issued again. */
    private static final long ORDER_DEADLINE_MILLIS = 60_000;

    private final HostId self;
    private final Map<BackendServerId, EngineReport> reports = new HashMap<>();
    private final Map<BackendServerId, Long> issuerSinceMillis = new HashMap<>();
    private final Map<BackendServerId, FencingNumber> lastIssued = new HashMap<>();
    private final Map<BackendServerId, PendingOrder> pendingOrders = new HashMap<>();
    private final Map<String, RoleBalance> balancesByPool = new TreeMap<>();
    private final Map<String, Long> megabytesByWeights = new HashMap<>();
    private final WeightStoreRateLimiter loadLimiter = new WeightStoreRateLimiter();
    private Sheet sheet;
    private double storeMegabytesPerSecond = 1_000;

    private record PendingOrder(Order order, long deadlineMillis) {}

    /**
     * Creates a planner without a sheet.
     *
     * @param self this host
     */
    public OrderPlanner(HostId self) {
        this.self = self;
    }

    /**
     * Applies a sheet that came into force.
     *
     * @param next the sheet
     */
    public void onSheet(Sheet next) {
        sheet = next;
        reports.keySet().retainAll(next.backendServers().keySet());
        pendingOrders.keySet().retainAll(next.backendServers().keySet());
    }

    /**
     * Updates the rate of the weight store and the sizes of its weights.
     *
     * @param megabytesPerSecond read rate of the store, summed over all readers
     * @param sizes sizes of weights by name, in megabytes
     */
    public void onWeightStore(double megabytesPerSecond, Map<String, Long> sizes) {
        if (!(megabytesPerSecond > 0)) {
            throw new IllegalArgumentException("The rate of the weight store is " + megabytesPerSecond
                    + " MB/s; a positive number is expected, check the store's answer.");
        }
        storeMegabytesPerSecond = megabytesPerSecond;
        megabytesByWeights.putAll(sizes);
    }

    /**
     * Records the report of an engine. A report older than the last one is ignored.
     *
     * @param report the report
     */
    public void onReport(EngineReport report) {
        EngineReport lastReport = reports.get(report.server());
        if (lastReport == null || report.takenAtMillis() >= lastReport.takenAtMillis()) {
            reports.put(report.server(), report);
        }
    }

    /**
     * Records that an engine refused an order because it has seen a larger fencing number from another issuer. The
     * planner waits for a report that was made after this moment.
     *
     * @param server the engine
     * @param nowMillis the current time
     */
    public void onFenced(BackendServerId server, long nowMillis) {
        pendingOrders.remove(server);
        issuerSinceMillis.computeIfPresent(server, (id, since) -> nowMillis);
    }

    /**
     * Returns the orders that are due. Must be called about once a second.
     *
     * @param view the epoch view of this host, which decides whether it may act as issuer
     * @param nowMillis the current time
     * @return orders, at most one for each engine
     */
    public List<Order> onTick(EpochView view, long nowMillis) {
        if (sheet == null) {
            return List.of();
        }
        List<BackendServer> ownEngines = new ArrayList<>();
        for (BackendServer server : engines()) {
            if (isIssuer(server.id(), view, nowMillis)) {
                issuerSinceMillis.putIfAbsent(server.id(), nowMillis);
                ownEngines.add(server);
            } else {
                issuerSinceMillis.remove(server.id());
                pendingOrders.remove(server.id());
            }
        }
        Map<String, BackendServer> roleChanges = roleChanges(nowMillis);
        List<Order> orders = new ArrayList<>();
        ownEngines.sort(Comparator.comparingInt((BackendServer s) -> countEnginesServing(nextModelToLoad(s)))
                .thenComparing(s -> s.id().value()));
        for (BackendServer server : ownEngines) {
            if (isReadyForOrder(server, nowMillis)) {
                modelOrder(server, ownEngines.size(), nowMillis)
                        .or(() -> roleOrder(server, roleChanges, nowMillis))
                        .ifPresent(orders::add);
            }
        }
        return orders;
    }

    /**
     * Returns whether an order may still be sent. Must be called immediately before the send, because the process may
     * have been paused since the order was planned.
     *
     * @param order the order
     * @param view the current epoch view of this host
     * @param nowMillis the current time
     * @return true if this host is still the issuer
     */
    public boolean maySend(Order order, EpochView view, long nowMillis) {
        return isIssuer(order.server(), view, nowMillis);
    }

    private boolean isIssuer(BackendServerId server, EpochView view, long nowMillis) {
        return view.mayUse(members -> members.owners("orders:" + server, 1).contains(self), nowMillis);
    }

    /**
     * Returns whether an engine may get an order: its last report is recent and no earlier order is outstanding. The
     * report must have been made after this host became the issuer: only then does it include the fencing numbers of
     * the earlier issuer, whose clock may be ahead.
     */
    private boolean isReadyForOrder(BackendServer server, long nowMillis) {
        EngineReport report = reports.get(server.id());
        if (report == null
                || nowMillis - report.takenAtMillis() > REPORT_VALID_MILLIS
                || report.takenAtMillis() < issuerSinceMillis.get(server.id())) {
            return false;
        }
        PendingOrder pendingOrder = pendingOrders.get(server.id());
        if (pendingOrder != null
                && !isDone(pendingOrder.order(), report)
                && nowMillis < pendingOrder.deadlineMillis()) {
            return false;
        }
        pendingOrders.remove(server.id());
        return true;
    }

    private static boolean isDone(Order order, EngineReport report) {
        return switch (order.action()) {
            case LOAD -> order.version().equals(report.versionsByModel().get(order.model()));
            case UNLOAD -> !report.versionsByModel().containsKey(order.model());
            case ROLE -> report.role() == order.role();
        };
    }

    private Optional<Order> modelOrder(BackendServer server, int ownEngines, long nowMillis) {
        EngineReport report = reports.get(server.id());
        Model modelToLoad = nextModelToLoad(server);
        if (modelToLoad != null) {
            boolean replaces =
                    report.versionsByModel().containsKey(modelToLoad.id().value());
            boolean mayReplace = !replaces || isServedElsewhere(server, modelToLoad.id(), nowMillis);
            if (!mayReplace || !loadLimiter.mayLoad(nowMillis)) {
                return Optional.empty();
            }
            double share = storeMegabytesPerSecond * ownEngines / engines().size();
            loadLimiter.loadStarted(megabytesByWeights.getOrDefault(modelToLoad.weights(), 1L), share, nowMillis);
            return Optional.of(order(
                    server,
                    OrderAction.LOAD,
                    modelToLoad.id().value(),
                    modelToLoad.version(),
                    report.role(),
                    nowMillis));
        }
        return report.versionsByModel().keySet().stream()
                .sorted()
                .filter(model -> !server.models().contains(new ModelId(model)))
                .findFirst()
                .map(model -> order(server, OrderAction.UNLOAD, model, "", report.role(), nowMillis));
    }

    /** Versions are replaced one engine at a time: another engine in the same role must serve the model meanwhile. */
    private boolean isServedElsewhere(BackendServer server, ModelId model, long nowMillis) {
        BackendKind role = reports.get(server.id()).role();
        List<BackendServer> others = engines().stream()
                .filter(s -> !s.id().equals(server.id()) && s.models().contains(model))
                .toList();
        return others.isEmpty()
                || others.stream()
                        .map(s -> reports.get(s.id()))
                        .anyMatch(r -> r != null
                                && r.role() == role
                                && !pendingOrders.containsKey(r.server())
                                && nowMillis - r.takenAtMillis() <= REPORT_VALID_MILLIS
                                && r.versionsByModel().containsKey(model.value()));
    }

    private Model nextModelToLoad(BackendServer server) {
        EngineReport report = reports.get(server.id());
        if (report == null) {
            return null;
        }
        return server.models().stream()
                .map(sheet.models()::get)
                .filter(model -> !model.version()
                        .equals(report.versionsByModel().get(model.id().value())))
                .min(Comparator.comparingInt(this::countEnginesServing)
                        .thenComparing(model -> model.id().value()))
                .orElse(null);
    }

    /** Counts the engines that serve a model in any version; models that few engines serve are loaded first. */
    private int countEnginesServing(Model model) {
        if (model == null) {
            return Integer.MAX_VALUE;
        }
        return (int) reports.values().stream()
                .filter(r -> r.versionsByModel().containsKey(model.id().value()))
                .count();
    }

    private Optional<Order> roleOrder(BackendServer server, Map<String, BackendServer> roleChanges, long nowMillis) {
        for (Map.Entry<String, BackendServer> change : roleChanges.entrySet()) {
            if (change.getValue().id().equals(server.id())) {
                BackendKind role = reports.get(server.id()).role() == BackendKind.PREFILL
                        ? BackendKind.DECODE
                        : BackendKind.PREFILL;
                balancesByPool.get(change.getKey()).onRoleChanged(nowMillis);
                return Optional.of(order(server, OrderAction.ROLE, "", "", role, nowMillis));
            }
        }
        return Optional.empty();
    }

    /**
     * Selects the engine of each pool that must change its role, if any. All hosts select the same engine from the same
     * reports and only its issuer acts, so that one engine changes at a time. Only engines with decode memory can
     * change, and each role keeps at least one engine.
     */
    private Map<String, BackendServer> roleChanges(long nowMillis) {
        Map<String, List<BackendServer>> pools = new TreeMap<>();
        for (BackendServer server : engines()) {
            EngineReport report = reports.get(server.id());
            if (report != null && nowMillis - report.takenAtMillis() <= REPORT_VALID_MILLIS) {
                pools.computeIfAbsent(poolName(server), p -> new ArrayList<>()).add(server);
            }
        }
        balancesByPool.keySet().retainAll(pools.keySet());
        Map<String, BackendServer> changes = new TreeMap<>();
        pools.forEach((pool, servers) -> {
            List<BackendServer> prefill = inRole(servers, BackendKind.PREFILL);
            List<BackendServer> decode = inRole(servers, BackendKind.DECODE);
            if (prefill.isEmpty() || decode.isEmpty()) {
                return;
            }
            Optional<BackendKind> needed = balancesByPool
                    .computeIfAbsent(pool, p -> new RoleBalance())
                    .onLoads(meanLoad(prefill), meanLoad(decode), nowMillis);
            List<BackendServer> donors =
                    needed.isEmpty() ? List.of() : needed.get() == BackendKind.PREFILL ? decode : prefill;
            if (donors.size() > 1) {
                RendezvousHash.rank("role:" + pool, donors, s -> s.id().value()).stream()
                        .filter(s -> s.memoryPieces() > 0)
                        .findFirst()
                        .ifPresent(s -> changes.put(pool, s));
            }
        });
        return changes;
    }

    private String poolName(BackendServer server) {
        return sheet.regionOf(server.dataCentre()).map(Object::toString).orElse("") + " " + server.models();
    }

    private List<BackendServer> inRole(List<BackendServer> servers, BackendKind role) {
        return servers.stream().filter(s -> reports.get(s.id()).role() == role).toList();
    }

    private int meanLoad(List<BackendServer> servers) {
        return (int) servers.stream()
                .mapToInt(s -> reports.get(s.id()).loadPermille())
                .average()
                .orElse(0);
    }

    private Order order(
            BackendServer server, OrderAction action, String model, String version, BackendKind role, long nowMillis) {
        FencingNumber last = lastIssued.getOrDefault(server.id(), FencingNumber.NONE);
        FencingNumber fencing =
                FencingNumber.next(nowMillis, last, reports.get(server.id()).fencing());
        lastIssued.put(server.id(), fencing);
        Order order = new Order(server.id(), fencing, action, model, version, role);
        pendingOrders.put(server.id(), new PendingOrder(order, nowMillis + ORDER_DEADLINE_MILLIS));
        return order;
    }

    private List<BackendServer> engines() {
        return sheet.backendServers().values().stream()
                .filter(s -> s.kind().isEngine() && s.isActive())
                .toList();
    }
}
