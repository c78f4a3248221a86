package org.guavathread.gateway.protocol;

/** Classification of a backend server's answer by what happened to the request. */
public enum AnswerMeaning {
    /** The server ran the request; the answer contains the result. */
    RAN,
    /** The server has no free capacity and did not run the request. */
    FULL,
    /** The address now belongs to another server, or the server has another role; the request did not run. */
    MISDIRECTED,
    /** The answer belongs to another request, or lacks proof that it comes from the server itself. */
    FOREIGN;

    /**
     * Returns whether the request certainly did not run.
     *
     * @return true if it may be sent to another server
     */
    public boolean isNotRun() {
        return this == FULL || this == MISDIRECTED;
    }
}
