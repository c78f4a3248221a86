package org.guavathread.core.claim;

import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;

/**
 * An idempotency key within its workspace and route.
 *
 * @param workspace the workspace of the caller
 * @param route the route that was called
 * @param key the key that the caller chose
 */
public record ClaimKey(WorkspaceId workspace, RouteId route, IdempotencyKey key) {

    /**
     * Returns the text that rendezvous hashing ranks hosts by. The lengths distinguish keys whose parts concatenate to
     * the same text.
     *
     * @return for example {@code "claim:2:7:w1bookingk1"}
     */
    public String ownerKey() {
        return "claim:" + workspace.value().length() + ":" + route.value().length() + ":" + workspace + route + key;
    }
}
