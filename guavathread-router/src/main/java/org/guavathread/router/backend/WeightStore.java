package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The weight store, from which engines load models at a limited rate. */
public interface WeightStore {

    /**
     * Reads the rate and the number of active reads.
     *
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the status
     */
    CompletableFuture<WeightStoreStatus> status(long deadlineMillis);

    /**
     * Reads the size of a set of weights.
     *
     * @param name name of the weights, for example {@code "resumidor-3"}
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the size in bytes, or empty if the store has no such weights
     */
    CompletableFuture<Optional<Long>> size(String name, long deadlineMillis);
}
