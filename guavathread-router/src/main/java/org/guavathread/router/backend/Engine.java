package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;

/** Operations that prefill and decode engines share. */
public interface Engine {

    /**
     * Cancels a request on the engine and frees its memory. Succeeds also if the engine does not know the request.
     *
     * @param requestId the request
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return completes when the engine has confirmed the cancellation
     */
    CompletableFuture<Void> cancel(RequestId requestId, long deadlineMillis);

    /**
     * Lists the requests of one host, of all its incarnations.
     *
     * @param host the host
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the requests
     */
    CompletableFuture<List<EngineRequest>> list(HostId host, long deadlineMillis);

    /**
     * Lists the requests of all hosts.
     *
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the requests
     */
    CompletableFuture<List<EngineRequest>> listAll(long deadlineMillis);

    /**
     * Reads the load report.
     *
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the report
     */
    CompletableFuture<EngineLoad> load(long deadlineMillis);

    /**
     * Sends an order.
     *
     * @param order the order
     * @return whether the engine accepted the order
     */
    CompletableFuture<OrderResult> order(EngineOrder order);
}
