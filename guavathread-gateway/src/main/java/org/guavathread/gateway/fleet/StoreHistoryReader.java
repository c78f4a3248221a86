package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.guavathread.core.publish.HistorySearch;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.protocol.StoreClient;

/**
 * Reads what the store remembers of the time before this host started, to learn which software versions servers had then.
 * Runs on the event loop's thread.
 */
public final class StoreHistoryReader {

    private static final long SHORTEST_WAIT_MILLIS = 1;

    /** Timeout of all calls of one reading together, since a caller waits for it. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Minimum time between the end of a reading and the next one. */
    private static final long MIN_INTERVAL_MILLIS = 1_000;

    private final GatewayContext context;
    private final StoreClient store;
    private final long historyMillis;
    private final List<Runnable> waiting = new ArrayList<>();
    private HistorySearch search;
    private StorePosition from;
    private long deadlineMillis;
    private long nextReadingMillis;

    /**
     * Creates a reader.
     *
     * @param context receives the history
     * @param store the store
     * @param historyMillis for how long the store remembers changes, in milliseconds; 0 if that is not known
     */
    public StoreHistoryReader(GatewayContext context, StoreClient store, long historyMillis) {
        this.context = context;
        this.store = store;
        this.historyMillis = historyMillis;
    }

    /**
     * Reads the history, unless that was tried lately.
     *
     * @param maxAgeMillis the time of interest, in milliseconds before now; a longer time than the store remembers is not
     *     read
     * @param onDone runs afterwards, whatever the outcome
     */
    void read(long maxAgeMillis, Runnable onDone) {
        boolean isReading = search != null;
        if (!isReading && (maxAgeMillis > historyMillis || now() < nextReadingMillis)) {
            onDone.run();
            return;
        }
        waiting.add(onDone);
        if (!isReading) {
            from = context.state().position();
            search = new HistorySearch(from.revision());
            deadlineMillis = now() + TIMEOUT_MILLIS;
            next();
        }
    }

    private void next() {
        OptionalLong revision = search.next();
        if (revision.isEmpty()) {
            boolean isApplied = context.state().applyHistory(search.events(), search.oldest(), historyMillis, now());
            end(isApplied ? "read" : "does not tell all versions");
            return;
        }
        long after = revision.getAsLong();
        store.watch(after, SHORTEST_WAIT_MILLIS, deadlineMillis)
                .whenComplete((reply, failure) -> context.loop().complete(() -> answered(after, reply, failure)));
    }

    private void answered(long after, StoreClient.Reply reply, Throwable failure) {
        if (failure != null) {
            end("failed: " + failure.getMessage());
        } else if (reply.position().epoch() != from.epoch()
                || context.state().position().epoch() != from.epoch()) {
            end("the store came back from an older copy");
        } else {
            if (reply.historyGone()) {
                search.gone(after);
            } else {
                search.available(after, reply.items());
            }
            next();
        }
    }

    private void end(String outcome) {
        context.log()
                .entry("history")
                .with("outcome", outcome)
                .with("revision", from.revision())
                .with("oldest", search.oldest())
                .with("events", search.events().size())
                .with("millis", now() - deadlineMillis + TIMEOUT_MILLIS)
                .write();
        search = null;
        nextReadingMillis = now() + MIN_INTERVAL_MILLIS;
        List<Runnable> done = List.copyOf(waiting);
        waiting.clear();
        done.forEach(Runnable::run);
    }

    private long now() {
        return context.loop().nowMillis();
    }
}
