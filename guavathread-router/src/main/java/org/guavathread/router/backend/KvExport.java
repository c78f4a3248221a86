package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * A KV cache that its prefill engine still holds and is ready to send.
 *
 * @param requestId the request that it belongs to
 * @param handle names the KV cache on its engine
 * @param kvBytes its length in bytes
 */
public record KvExport(RequestId requestId, String handle, long kvBytes) {}
