package org.guavathread.gateway.call;

import java.util.Optional;

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
 * @param workspace the workspace that is charged for the request; empty on open routes
 * @param charge units taken from the workspace's rate limit
 * @param fingerprint hash of the request's content; equal for identical requests
 * @param deadlineMillis latest time at which the caller gets an answer
 */
record AdmittedRequest(
        CallerExchange exchange,
        CallerRequest request,
        RouteRule rule,
        ServiceName service,
        Optional<WorkspaceTerms> workspace,
        double charge,
        long fingerprint,
        long deadlineMillis) {}
