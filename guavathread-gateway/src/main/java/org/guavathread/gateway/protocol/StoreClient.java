package org.guavathread.gateway.protocol;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.publish.StoreItem;
import org.guavathread.core.publish.StorePosition;

/** Client of a platform's configuration store. */
public interface StoreClient {

    /**
     * The store's answer.
     *
     * @param items the listed items, or the change events
     * @param position the store's position: before the first item of a listing, after the last event
     * @param historyGone whether the store has compacted the requested history
     */
    record Reply(List<StoreItem> items, StorePosition position, boolean historyGone) {}

    /**
     * Lists all items of the store.
     *
     * @param deadlineMillis when the call times out
     * @return completes with the items of all pages, or exceptionally
     */
    CompletableFuture<Reply> list(long deadlineMillis);

    /**
     * Waits for changes.
     *
     * @param revision the revision after which changes are returned
     * @param waitMillis how long the store waits for a change, in milliseconds
     * @param deadlineMillis when the call times out
     * @return completes with the changes, possibly none, or exceptionally
     */
    CompletableFuture<Reply> watch(long revision, long waitMillis, long deadlineMillis);
}
