package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;

/** What prefill and decode engines have in common. */
public interface Engine {

    /**
     * Ends a request on the engine and frees what it holds; also succeeds if the engine does not know it.
     *
     * @param requestId the request
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return completes when the engine has confirmed
     */
    CompletableFuture<Void> cancel(RequestId requestId, long deadlineMillis);

    /**
     * Lists the requests of one host, over all its incarnations.
     *
     * @param host the host
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the requests
     */
    CompletableFuture<List<EngineRequest>> list(HostId host, long deadlineMillis);

    /**
     * Lists the requests of all hosts.
     *
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the requests
     */
    CompletableFuture<List<EngineRequest>> listAll(long deadlineMillis);

    /**
     * Reads the load report.
     *
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the report
     */
    CompletableFuture<EngineLoad> load(long deadlineMillis);

    /**
     * Gives an order.
     *
     * @param order the order
     * @return how the engine answered
     */
    CompletableFuture<OrderResult> order(EngineOrder order);
}
