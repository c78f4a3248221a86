package org.guavathread.core.membership;

/** What a witness knows of the epochs that its earlier runs confirmed. */
public enum WitnessMemory {
    /** It has restarted and nobody has told it yet; it supports no lease. */
    EMPTY(false),
    /** Enough other witnesses with intact memory have told it. */
    COMPLETE(true),
    /** A majority of the witnesses restarted together, so that nobody could tell it; it goes on with what it has. */
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
