package org.guavathread.core.publish;

import java.util.List;
import java.util.OptionalLong;

/**
 * Finds the oldest revision from which the store still has its history, in a number of questions that grows with the
 * logarithm of the number of changes.
 *
 * <pre>{@code
 * OptionalLong revision = search.next();
 * search.available(revision.getAsLong(), events);
 * }</pre>
 */
public final class HistorySearch {

    private long available;
    private long gone = -1;
    private long step = 1;
    private List<StoreItem> events = List.of();

    /**
     * Starts a search.
     *
     * @param applied the revision that this host has applied; no earlier events are known
     */
    public HistorySearch(long applied) {
        this.available = applied;
    }

    /**
     * Returns the revision to ask for next.
     *
     * @return the revision, or empty if the search has ended
     */
    public OptionalLong next() {
        if (available - gone <= 1) {
            return OptionalLong.empty();
        }
        long middle = gone + (available - gone) / 2;
        return OptionalLong.of(Math.max(middle, available - step));
    }

    /**
     * Records that the store has the events after a revision.
     *
     * @param revision the revision
     * @param later the events
     */
    public void available(long revision, List<StoreItem> later) {
        available = revision;
        events = List.copyOf(later);
        step *= 2;
    }

    /**
     * Records that the store has dropped events after a revision.
     *
     * @param revision the revision
     */
    public void gone(long revision) {
        gone = revision;
    }

    /**
     * Returns the oldest revision after which all events are available.
     *
     * @return the revision
     */
    public long oldest() {
        return available;
    }

    /**
     * Returns the events after that revision.
     *
     * @return the events in the order of their revisions
     */
    public List<StoreItem> events() {
        return events;
    }
}
