package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.RequestId;

/** A prefill engine. Failures are {@code HttpExchangeException} or {@link BackendAnswerException}. */
public interface PrefillEngine extends Engine {

    /**
     * Computes the KV cache of a prompt.
     *
     * @param request the prompt
     * @return the handle and size of the KV cache
     */
    CompletableFuture<PrefillResult> prefill(PrefillRequest request);

    /**
     * Checks that the engine still holds a KV cache and prepares it to be pulled by a decode engine.
     *
     * @param requestId the request
     * @param handle the handle that the prefill returned
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the KV cache that the engine holds
     */
    CompletableFuture<KvExport> export(RequestId requestId, String handle, long deadlineMillis);

    /**
     * Reads changes of the prefix cache; events are delayed, and some may be missing.
     *
     * @param after sequence number of the last known event, initially 0
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the events ordered by sequence number
     */
    CompletableFuture<List<PrefixEvent>> prefixEvents(long after, long deadlineMillis);
}
