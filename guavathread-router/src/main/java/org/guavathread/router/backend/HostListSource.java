package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving hosts, which lags and may be wrong. */
public interface HostListSource {

    /**
     * Reads the list.
     *
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the entries
     */
    CompletableFuture<List<ListedHost>> hosts(long deadlineMillis);
}
