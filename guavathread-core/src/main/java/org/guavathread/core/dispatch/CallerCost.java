package org.guavathread.core.dispatch;

import java.util.Comparator;

import org.guavathread.core.routing.Priority;

/**
 * What it costs callers to keep a request waiting or to turn it away; the dearest comes first.
 *
 * @param priority the priority of the request
 * @param need what further waiting does to it
 */
public record CallerCost(Priority priority, Need need) implements Comparable<CallerCost> {

    private static final Comparator<CallerCost> DEAREST_FIRST = Comparator.<CallerCost, Boolean>comparing(
                    cost -> cost.need.canWait)
            .thenComparing(CallerCost::priority)
            .thenComparing(CallerCost::need);

    /** What further waiting does to a request, the dearest first. */
    public enum Need {
        /** It would miss its latency target, and its workspace is within its fair share. */
        ON_TIME(WaitingRank.ON_TIME, false),
        /** It would miss its latency target, but its workspace exceeds its fair share. */
        ON_TIME_ABOVE_SHARE(WaitingRank.ON_TIME_ABOVE_PART, false),
        /** It has missed its target, and its caller is about to give up. */
        LAST_CHANCE(WaitingRank.LATE, false),
        /** It has missed its target, so that its answer loses nothing more for a while. */
        LATE(WaitingRank.LATE, true);

        private final WaitingRank rank;
        private final boolean canWait;

        Need(WaitingRank rank, boolean canWait) {
            this.rank = rank;
            this.canWait = canWait;
        }

        /**
         * Returns the rank by which hosts compare requests of equal priority.
         *
         * @return the rank
         */
        public WaitingRank rank() {
            return rank;
        }
    }

    @Override
    public int compareTo(CallerCost other) {
        return DEAREST_FIRST.compare(this, other);
    }
}
