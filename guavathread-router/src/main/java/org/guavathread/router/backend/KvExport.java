package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * A KV cache that its prefill engine still holds and can transfer.
 *
 * @param requestId the request that it belongs to
 * @param handle identifies the KV cache on its engine
 * @param kvBytes size in bytes
 */
public record KvExport(RequestId requestId, String handle, long kvBytes) {}
