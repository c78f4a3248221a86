package org.guavathread.gateway.call;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.dispatch.CrashTrait;
import org.guavathread.core.routing.HomeRegions;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.RouteRule;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.WorkspaceTerms;
import org.guavathread.gateway.protocol.CallerRequest;
import org.guavathread.router.caller.CallerExchange;

/**
 * A request that passed all checks before dispatch.
 *
 * @param exchange the exchange with the caller
 * @param request the caller's request
 * @param rule its route
 * @param service the service that serves it
 * @param priority its priority; empty if all requests of the service have the same one
 * @param workspace the workspace that is charged for the request; empty on open routes
 * @param charge units taken from the workspace's rate limit
 * @param crashTraits features that it shares with other requests that may crash backend servers
 * @param isCrashTest whether it runs to find out if a blamed trait still crashes servers
 * @param deadlineMillis latest time at which the caller gets an answer
 */
record AdmittedRequest(
        CallerExchange exchange,
        CallerRequest request,
        RouteRule rule,
        ServiceName service,
        Optional<Priority> priority,
        Optional<WorkspaceTerms> workspace,
        double charge,
        List<CrashTrait> crashTraits,
        boolean isCrashTest,
        long deadlineMillis) {

    /** Returns the homes of the route and of the workspace, which both bind. */
    HomeRegions.Allowed homes() {
        return rule.homes().and(workspace.map(WorkspaceTerms::homes).orElse(HomeRegions.ANY));
    }

    /** Returns until when a caller waits at a route, whether this host lasts as long or not. */
    static long callerDeadlineMillis(CallerExchange exchange, CallerRequest request, RouteRule rule) {
        return Math.min(request.deadlineMillis(), exchange.arrivedAtMillis() + rule.timeoutMillis());
    }

    /** Returns until when the caller waits, whether this host lasts as long or not. */
    long callerDeadlineMillis() {
        return callerDeadlineMillis(exchange, request, rule);
    }
}
