package org.guavathread.core.dispatch;

/** What a request to a backend server is for. */
public enum SendPurpose {
    /** A run or the prefill of one. */
    WORK(true),
    /** A reservation of memory for a run. */
    RESERVATION(false);

    private final boolean countsAgainstStatedLimit;

    SendPurpose(boolean countsAgainstStatedLimit) {
        this.countsAgainstStatedLimit = countsAgainstStatedLimit;
    }

    /**
     * Tells whether it counts against a limit that the server states; against that of a cold server, all requests count.
     *
     * @return true if it does
     */
    boolean countsAgainstStatedLimit() {
        return countsAgainstStatedLimit;
    }
}
