package org.guavathread.core.membership;

/** Whether a witness knows the epochs that its earlier incarnations confirmed. */
public enum WitnessMemory {
    /** It has restarted and has not recovered them from other witnesses yet; it supports no lease. */
    EMPTY(false),
    /** It has recovered them from enough other witnesses with intact memory. */
    COMPLETE(true),
    /** A majority of the witnesses restarted together, so that it could not recover them; it continues without them. */
    LOST(true);

    private final boolean complete;

    WitnessMemory(boolean complete) {
        this.complete = complete;
    }

    boolean isComplete() {
        return complete;
    }

    boolean countsAsLost() {
        return this != COMPLETE;
    }
}
