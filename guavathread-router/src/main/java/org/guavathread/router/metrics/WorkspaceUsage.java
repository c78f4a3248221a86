package org.guavathread.router.metrics;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.guavathread.core.id.WorkspaceId;

/** Counts admitted and refused requests of each workspace on this host since its start. Thread-safe. */
public final class WorkspaceUsage {

    private static final class Counters {
        private final LongAdder admitted = new LongAdder();
        private final LongAdder admittedTokens = new LongAdder();
        private final LongAdder refused = new LongAdder();
        private final LongAdder rateLimited = new LongAdder();
    }

    /**
     * Counts of one workspace.
     *
     * @param workspace its name
     * @param admitted requests admitted
     * @param admittedTokens tokens charged for them
     * @param refused requests refused for any reason
     * @param rateLimited requests refused because the rate and burst were used up
     */
    public record Row(String workspace, long admitted, long admittedTokens, long refused, long rateLimited) {

        /**
         * Gives the share of requests that were admitted.
         *
         * @return from 0 to 1; 1 if there was no request
         */
        public double admittedShare() {
            long all = admitted + refused;
            return all == 0 ? 1 : (double) admitted / all;
        }
    }

    private final Map<WorkspaceId, Counters> counters = new ConcurrentHashMap<>();

    /**
     * Counts an admitted request.
     *
     * @param workspace its workspace
     * @param tokens tokens charged for it
     */
    public void admitted(WorkspaceId workspace, long tokens) {
        Counters c = of(workspace);
        c.admitted.increment();
        c.admittedTokens.add(tokens);
    }

    /**
     * Counts a refused request.
     *
     * @param workspace its workspace
     * @param rateLimited whether the rate and burst were used up
     */
    public void refused(WorkspaceId workspace, boolean rateLimited) {
        Counters c = of(workspace);
        c.refused.increment();
        if (rateLimited) {
            c.rateLimited.increment();
        }
    }

    /**
     * Removes the counters of workspaces that the sheet no longer lists.
     *
     * @param listed the workspaces to keep
     */
    public void retain(java.util.Set<WorkspaceId> listed) {
        counters.keySet().retainAll(listed);
    }

    /**
     * Lists all workspaces that have sent a request, lowest admitted share first.
     *
     * @return the rows
     */
    public List<Row> rows() {
        return counters.entrySet().stream()
                .map(e -> row(e.getKey(), e.getValue()))
                .sorted(Comparator.comparingDouble(Row::admittedShare).thenComparing(Row::workspace))
                .toList();
    }

    private static Row row(WorkspaceId workspace, Counters c) {
        return new Row(
                workspace.value(), c.admitted.sum(), c.admittedTokens.sum(), c.refused.sum(), c.rateLimited.sum());
    }

    private Counters of(WorkspaceId workspace) {
        return counters.computeIfAbsent(workspace, w -> new Counters());
    }
}
