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
     * @return a handle of the KV cache
     */
    CompletableFuture<PrefillResult> prefill(PrefillRequest request);

    /**
     * Checks that the engine still holds a KV cache and makes it ready for a decode engine to pull.
     *
     * @param requestId the request
     * @param handle the handle that the prefill returned
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return what the engine holds
     */
    CompletableFuture<KvExport> export(RequestId requestId, String handle, long deadlineMillis);

    /**
     * Reads the changes of the prefix cache; they come late and some may be missing.
     *
     * @param after sequence number of the last known event, 0 at first
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the events in the order of their numbers
     */
    CompletableFuture<List<PrefixEvent>> prefixEvents(long after, long deadlineMillis);
}
