package org.guavathread.core.dispatch;

import java.util.Comparator;
import java.util.Optional;

import org.guavathread.core.dispatch.CallerCost.Need;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.share.FairShareTracker;

/**
 * Orders the waiting requests of a service by what it costs callers to delay them, when a burst exceeds the room of its
 * servers: requests that can still meet their target before late ones, the more urgent before the less urgent, and within
 * a priority workspaces within their fair share before those whose burst caused the queue. A late request whose caller
 * is about to give up goes before less urgent ones, so that no request is turned away for a less urgent one.
 *
 * <pre>{@code
 * waiting.sort(Comparator.comparing(Request::standing, order.dearestFirst(nowMillis)));
 * }</pre>
 */
public final class CostOrder {

    /** Last part of the time from the target to the caller's limit in which a late request cannot wait any longer. */
    private static final double LAST_CHANCE_SHARE = 0.25;

    private final FairShareTracker shares;

    /**
     * Creates an order.
     *
     * @param shares recent usage of the workspaces
     */
    public CostOrder(FairShareTracker shares) {
        this.shares = shares;
    }

    /**
     * What decides on the place of a request.
     *
     * @param priority its priority; empty if all requests of its service have the same one
     * @param workspace the workspace that sent it
     * @param arrivedAtMillis time of its arrival
     * @param onTimeUntilMillis latest time of admission at which it still meets its latency target
     * @param expiresAtMillis time at which it expires, because its caller gives up
     * @param workTokens tokens of memory that it occupies while it runs; 0 if it is not measured in tokens
     */
    public record Standing(
            Optional<Priority> priority,
            Optional<WorkspaceId> workspace,
            long arrivedAtMillis,
            long onTimeUntilMillis,
            long expiresAtMillis,
            int workTokens) {

        /**
         * Returns the priority by which the request is compared.
         *
         * @return the priority, or the default one
         */
        public Priority level() {
            return priority.orElse(Priority.DEFAULT);
        }

        private boolean isLastChance(long nowMillis) {
            double lastMillis = LAST_CHANCE_SHARE * (expiresAtMillis - onTimeUntilMillis);
            return priority.isPresent() && nowMillis >= expiresAtMillis - lastMillis;
        }

        /**
         * Returns a builder.
         *
         * @param arrivedAtMillis time of the request's arrival
         * @return the builder
         */
        public static Builder arrivedAt(long arrivedAtMillis) {
            return new Builder(arrivedAtMillis);
        }
    }

    /** Builds what decides on the place of a request. */
    public static final class Builder {

        private final long arrivedAtMillis;
        private Optional<Priority> priority = Optional.empty();
        private Optional<WorkspaceId> workspace = Optional.empty();
        private long onTimeUntilMillis = Long.MAX_VALUE;
        private long expiresAtMillis = Long.MAX_VALUE;
        private int workTokens;

        private Builder(long arrivedAtMillis) {
            this.arrivedAtMillis = arrivedAtMillis;
        }

        /**
         * Sets the priority.
         *
         * @param priority the priority; empty if all requests of the service have the same one
         * @return this builder
         */
        public Builder priority(Optional<Priority> priority) {
            this.priority = priority;
            return this;
        }

        /**
         * Sets the workspace.
         *
         * @param workspace the workspace that sent the request
         * @return this builder
         */
        public Builder workspace(Optional<WorkspaceId> workspace) {
            this.workspace = workspace;
            return this;
        }

        /**
         * Sets the times by which the request is to be admitted.
         *
         * @param onTimeUntilMillis latest time at which it still meets its latency target
         * @param expiresAtMillis time at which its caller gives up
         * @return this builder
         */
        public Builder until(long onTimeUntilMillis, long expiresAtMillis) {
            this.onTimeUntilMillis = onTimeUntilMillis;
            this.expiresAtMillis = expiresAtMillis;
            return this;
        }

        /**
         * Sets the size.
         *
         * @param workTokens tokens of memory that the request occupies
         * @return this builder
         */
        public Builder work(int workTokens) {
            this.workTokens = workTokens;
            return this;
        }

        /**
         * Builds the standing.
         *
         * @return the standing
         */
        public Standing build() {
            return new Standing(priority, workspace, arrivedAtMillis, onTimeUntilMillis, expiresAtMillis, workTokens);
        }
    }

    /**
     * Returns what it costs to keep a request waiting.
     *
     * @param standing the request
     * @param nowMillis the current time
     * @return the cost
     */
    public CallerCost costOf(Standing standing, long nowMillis) {
        return new CallerCost(standing.level(), needOf(standing, nowMillis));
    }

    private Need needOf(Standing standing, long nowMillis) {
        if (nowMillis > standing.onTimeUntilMillis()) {
            return standing.isLastChance(nowMillis) ? Need.LAST_CHANCE : Need.LATE;
        }
        return shares.isAboveFairShare(standing.workspace(), nowMillis) ? Need.ON_TIME_ABOVE_SHARE : Need.ON_TIME;
    }

    /**
     * Returns the order in which requests are admitted; the last one is refused first.
     *
     * @param nowMillis the current time
     * @return the order: by cost, then by arrival
     */
    public Comparator<Standing> dearestFirst(long nowMillis) {
        return Comparator.<Standing, CallerCost>comparing(standing -> costOf(standing, nowMillis))
                .thenComparingLong(Standing::arrivedAtMillis);
    }
}
