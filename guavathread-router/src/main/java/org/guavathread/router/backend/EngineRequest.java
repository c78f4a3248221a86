package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * A request that an engine holds.
 *
 * @param requestId the request
 * @param owner the host that made it
 * @param state state in the engine's own words, for example {@code "decoding"}
 * @param pieces decode memory pieces that it holds
 */
public record EngineRequest(RequestId requestId, Owner owner, String state, int pieces) {}
