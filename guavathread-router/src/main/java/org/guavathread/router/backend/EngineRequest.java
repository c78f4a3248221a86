package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * A request that an engine holds.
 *
 * @param requestId the request
 * @param owner the host that sent it
 * @param state state as the engine names it, for example {@code "decoding"}
 * @param pieces number of decode memory pieces that it holds
 */
public record EngineRequest(RequestId requestId, Owner owner, String state, int pieces) {}
