package org.guavathread.core.dispatch;

import org.guavathread.core.message.UnknownConstant;

/** Scheduling rank of a queued request, best first. Hosts report the best rank of their queue to each other. */
public enum WaitingRank {
    /** It can meet its latency target, and its workspace is within its fair share. */
    ON_TIME,
    /** It can meet its latency target, but its workspace exceeds its fair share. */
    ON_TIME_ABOVE_PART,
    /** It will miss its latency target, so its answer is worth little to its caller. */
    LATE,
    /** The queue is empty. */
    @UnknownConstant
    NONE;

    /**
     * Tells whether a request with another rank is admitted before one with this rank.
     *
     * @param other the other rank
     * @return true if the other rank is better
     */
    public boolean ranksBelow(WaitingRank other) {
        return compareTo(other) > 0;
    }
}
