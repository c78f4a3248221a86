package org.guavathread.core.dispatch;

/** How much a waiting request gains from the next room, best first. Hosts tell each other the rank of their best one. */
public enum WaitingRank {
    /** It can be on time, and its workspace uses at most an equal part. */
    ON_TIME,
    /** It can be on time, but its workspace uses more than an equal part. */
    ON_TIME_ABOVE_PART,
    /** It will be late, which is worth little to its caller. */
    LATE,
    /** No request waits. */
    NONE;

    /**
     * Tells whether a request leaves the next room to another one.
     *
     * @param other rank of the other request
     * @return true if the other one gains more
     */
    public boolean yieldsTo(WaitingRank other) {
        return compareTo(other) > 0;
    }
}
