package org.guavathread.core.sheet;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.request.RequestKind;

/**
 * A route of the sheet: a path and what answers it.
 *
 * @param id its name
 * @param path the path that callers use
 * @param kind how its requests may be delayed and repeated
 * @param target engines or plain services
 * @param backendServers the plain services behind it; empty for language routes
 * @param models the models behind it; empty for plain routes
 * @param open whether it needs no key
 * @param requireIdempotencyKey whether a call without an idempotency key is refused
 * @param timeoutMillis how long a request may take from its arrival to the first byte of its answer, in milliseconds
 * @param costTokens what a plain call takes from the workspace's budget, in tokens
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
