package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving hosts, which may be out of date or wrong. */
public interface HostListSource {

    /**
     * Reads the list.
     *
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the entries
     */
    CompletableFuture<List<ListedHost>> hosts(long deadlineMillis);
}
