package org.guavathread.core.sheet;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.request.RequestKind;

/**
 * A route of the sheet: a path and the backend servers or models that serve it.
 *
 * @param id its name
 * @param path the path that callers use
 * @param kind whether its requests may be delayed or retried
 * @param target whether it forwards to engines or to plain services
 * @param backendServers the plain services behind it; empty for language routes
 * @param models the models behind it; empty for plain routes
 * @param open whether callers need no API key
 * @param requireIdempotencyKey whether a call without an idempotency key is refused
 * @param timeoutMillis time limit from the arrival of a request to the first byte of its response, in
 *     milliseconds
 * @param costTokens cost of a call to a plain service, in tokens of the workspace's rate limit
 */
public record Route(
        RouteId id,
        String path,
        RequestKind kind,
        RouteTarget target,
        List<BackendServerId> backendServers,
        List<ModelId> models,
        boolean open,
        boolean requireIdempotencyKey,
        int timeoutMillis,
        int costTokens) {

    /** Copies the lists. */
    public Route {
        backendServers = List.copyOf(backendServers);
        models = List.copyOf(models);
    }
}
