package org.guavathread.gateway.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.dispatch.RolePlan;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.routing.ServiceTerms;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.protocol.EngineReport;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/**
 * Orders engines to change their role. Only the leader gives orders: the first host by name among the reachable ones, once
 * it has been first for longer than an order takes. Each engine gets at most one order in its life, and only if it reports
 * that it has had none, so that no engine receives successive orders from two hosts.
 */
public final class RoleCoordinator {

    /** Delay before a new leader gives orders: the previous leader's last order (6 s) and leadership (3 s) are over then. */
    private static final long LEADERSHIP_DELAY_MILLIS = 9_000;

    /** Minimum time between two orders; an engine that changes its role is unavailable for about this long. */
    private static final long MIN_ORDER_INTERVAL_MILLIS = 7_000;

    /** Timeout of a call to an engine; the call is not retried. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final HostId self;
    private final GatewayContext context;
    private final FleetView fleet;
    private final RolePlan plan;
    private final Set<BackendServerId> contactedEngines = new HashSet<>();
    private long leadingSinceMillis = Long.MAX_VALUE;
    private long nextOrderAtMillis;

    /**
     * Creates the coordinator.
     *
     * @param self this host
     * @param context the published state, the protocol and the HTTP client
     * @param fleet this host's view of the other hosts
     * @param plan decides which engine changes its role
     */
    public RoleCoordinator(HostId self, GatewayContext context, FleetView fleet, RolePlan plan) {
        this.self = self;
        this.context = context;
        this.fleet = fleet;
        this.plan = plan;
    }

    /**
     * Gives the next order to an engine if this host is the leader and an order is due.
     *
     * @param phase this host's phase
     */
    public void step(HostPhase phase) {
        long now = context.loop().nowMillis();
        if (phase != HostPhase.READY || !fleet.isLeader(now)) {
            leadingSinceMillis = Long.MAX_VALUE;
            return;
        }
        leadingSinceMillis = Math.min(leadingSinceMillis, now);
        if (now - leadingSinceMillis < LEADERSHIP_DELAY_MILLIS || now < nextOrderAtMillis) {
            return;
        }
        for (ServiceTerms terms :
                context.state().table().map(RoutingTable::services).orElse(List.of())) {
            if (terms.engine().isPresent()) {
                Optional<RolePlan.Change> change =
                        plan.next(context.state().registry().usable(terms.name()));
                change.filter(c -> !context.pauses().isPaused(c.engine(), now))
                        .filter(c -> !context.coldServers().isCold(c.engine(), now))
                        .filter(c -> contactedEngines.add(c.engine().id()))
                        .ifPresent(this::requestReport);
            }
        }
    }

    /** Requests the engine's report and gives the order if the engine has had none before. */
    private void requestReport(RolePlan.Change change) {
        nextOrderAtMillis = context.loop().nowMillis() + MIN_ORDER_INTERVAL_MILLIS;
        Worker engine = change.engine();
        long untilMillis = context.loop().nowMillis() + CALL_TIMEOUT_MILLIS;
        context.ask(engine, context.backendProtocol().report(engine, untilMillis), (answer, failure) -> {
            Optional<EngineReport> report =
                    failure == null ? context.backendProtocol().reportOf(engine, answer) : Optional.empty();
            boolean acceptsOrder = report.filter(
                            r -> r.stage() == engine.stage() && !r.isBusy() && r.ordersTaken() == 0)
                    .isPresent();
            if (acceptsOrder && fleet.isLeader(context.loop().nowMillis())) {
                order(change);
            } else {
                log(change, "not ordered: " + report.map(Object::toString).orElse("no report"));
            }
        });
    }

    private void order(RolePlan.Change change) {
        long now = context.loop().nowMillis();
        Worker engine = change.engine();
        HttpRequest request =
                context.backendProtocol().changeStage(engine, change.stage(), self, now, now + CALL_TIMEOUT_MILLIS);
        context.ask(
                engine,
                request,
                (answer, failure) -> log(change, failure == null ? statusOf(answer) : failure.getMessage()));
    }

    private static String statusOf(HttpResponse answer) {
        return "status " + answer.status();
    }

    private void log(RolePlan.Change change, String outcome) {
        context.log()
                .entry("order")
                .with("server", change.engine().id())
                .with("stage", change.stage())
                .with("outcome", outcome)
                .write();
    }
}
