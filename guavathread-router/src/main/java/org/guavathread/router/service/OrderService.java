package org.guavathread.router.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.order.EngineReport;
import org.guavathread.core.order.FencingNumber;
import org.guavathread.core.order.Order;
import org.guavathread.core.order.OrderAction;
import org.guavathread.core.order.OrderPlanner;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.Model;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.backend.EngineLoad;
import org.guavathread.router.backend.EngineOrder;
import org.guavathread.router.backend.EngineRole;
import org.guavathread.router.backend.OrderResult;
import org.guavathread.router.backend.WeightStore;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.log.Logs;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/**
 * Duty {@code orders}: orders engines to load and unload models according to the sheet. Orders to change role are planned
 * but not sent, because placement takes the role of an engine from the sheet.
 */
public final class OrderService {

    private static final long TICK_MILLIS = 1_000;
    private static final long REPORT_TIMEOUT_MILLIS = 900;
    private static final long SEND_TIMEOUT_MILLIS = 500;
    private static final long ORDER_TIMEOUT_MILLIS = 5_000;
    private static final long STORE_EVERY_MILLIS = 30_000;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    private final HostId self;
    private final FleetState fleet;
    private final BackendRegistry backends;
    private final Optional<WeightStore> store;
    private final Clock clock;
    private final Duty<State> duty;

    private final class State {
        private final OrderPlanner planner = new OrderPlanner(self);
        private Sheet sheet;
        private long storeAtMillis;
    }

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param fleet the current view of the fleet
     * @param backends the adapters of engines
     * @param store the weight store, if one is configured
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public OrderService(
            HostId self,
            FleetState fleet,
            BackendRegistry backends,
            Optional<WeightStore> store,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.fleet = fleet;
        this.backends = backends;
        this.store = store;
        this.clock = clock;
        this.duty = supervisor.add(new Duty<>("orders", State::new, supervisor, clock).every(TICK_MILLIS, this::tick));
    }

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
     */
    public int backlog() {
        return duty.backlog();
    }

    private void tick(State state, long nowMillis) {
        Sheet sheet = fleet.now().sheet();
        if (sheet != state.sheet) {
            state.sheet = sheet;
            state.planner.onSheet(sheet);
        }
        if (nowMillis >= state.storeAtMillis) {
            state.storeAtMillis = nowMillis + STORE_EVERY_MILLIS;
            store.ifPresent(s -> readStore(s, sheet));
        }
        for (Order order : state.planner.onTick(fleet.now().epochs(), nowMillis)) {
            send(state, order);
        }
        // Only issuers need reports, but the issuer of a role change compares all engines of its pool.
        sheet.backendServers().values().stream()
                .filter(s -> s.kind().isEngine() && isIssuer(s))
                .forEach(this::readReport);
    }

    private boolean isIssuer(BackendServer server) {
        return fleet.now()
                .epochs()
                .mayUse(m -> m.owners("orders:" + server.id(), 1).contains(self), clock.nowMillis());
    }

    private void readReport(BackendServer server) {
        long askedAtMillis = clock.nowMillis();
        backends.engine(server.id())
                .ifPresent(engine -> engine.load(askedAtMillis + REPORT_TIMEOUT_MILLIS)
                        .thenAccept(load ->
                                duty.offer(state -> state.planner.onReport(report(server, load, askedAtMillis)))));
    }

    private EngineReport report(BackendServer server, EngineLoad load, long askedAtMillis) {
        Map<String, String> versions = new HashMap<>();
        for (ModelId model : load.models()) {
            Model listed = fleet.now().sheet().models().get(model);
            String sheetVersion = listed == null ? "" : listed.version();
            versions.put(model.value(), load.versions().getOrDefault(model, sheetVersion));
        }
        boolean decode = load.role() == EngineRole.DECODE;
        int permille = load.memoryPieces() > 0 ? load.usedPieces() * 1_000 / load.memoryPieces() : 0;
        return new EngineReport(
                server.id(),
                versions,
                decode ? BackendKind.DECODE : BackendKind.PREFILL,
                new FencingNumber(load.fencing()),
                permille,
                askedAtMillis - load.ageMillis());
    }

    private void send(State state, Order order) {
        if (order.action() == OrderAction.ROLE) {
            return;
        }
        long now = clock.nowMillis();
        EngineOrder engineOrder = new EngineOrder(
                order.fencing().value(),
                order.action() == OrderAction.LOAD ? EngineOrder.Action.LOAD_MODEL : EngineOrder.Action.UNLOAD_MODEL,
                Optional.of(new ModelId(order.model())),
                Optional.of(order.version()).filter(v -> !v.isEmpty()),
                Optional.empty(),
                now + SEND_TIMEOUT_MILLIS,
                now + ORDER_TIMEOUT_MILLIS);
        if (!state.planner.maySend(order, fleet.now().epochs(), clock.nowMillis())) {
            return;
        }
        Logger.tag(Logs.AUDIT_TAG)
                .info(
                        "Order {} to {}: {} {} {}",
                        order.fencing().value(),
                        order.server(),
                        order.action().wireName(),
                        order.model(),
                        order.version());
        backends.engine(order.server())
                .ifPresent(engine -> engine.order(engineOrder).whenComplete((result, failure) -> {
                    if (failure != null) {
                        Logger.warn(
                                "Order {} to {} failed: {}",
                                order.fencing().value(),
                                order.server(),
                                failure.getMessage());
                    } else if (result == OrderResult.OLD_FENCING_NUMBER) {
                        duty.offer(s -> s.planner.onFenced(order.server(), clock.nowMillis()));
                    }
                }));
    }

    private void readStore(WeightStore weightStore, Sheet sheet) {
        long deadlineMillis = clock.nowMillis() + ORDER_TIMEOUT_MILLIS;
        Map<String, CompletableFuture<Optional<Long>>> sizes = new HashMap<>();
        List<String> names =
                sheet.models().values().stream().map(Model::weights).distinct().toList();
        names.forEach(name -> sizes.put(name, weightStore.size(name, deadlineMillis)));
        CompletableFuture.allOf(sizes.values().toArray(CompletableFuture[]::new))
                .thenCombine(weightStore.status(deadlineMillis), (done, status) -> status)
                .thenAccept(status -> duty.offer(state -> {
                    Map<String, Long> megabytes = new HashMap<>();
                    sizes.forEach((name, size) -> size.join()
                            .ifPresent(bytes -> megabytes.put(name, Math.max(1, bytes / (long) BYTES_PER_MEGABYTE))));
                    if (status.bytesPerSecond() > 0) {
                        state.planner.onWeightStore(status.bytesPerSecond() / BYTES_PER_MEGABYTE, megabytes);
                    }
                }));
    }
}
