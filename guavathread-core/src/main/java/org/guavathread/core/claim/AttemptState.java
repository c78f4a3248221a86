package org.guavathread.core.claim;

/** What a host knows about an attempt. */
public enum AttemptState {
    /** A voter has recorded the attempt, or its coordinator is still gathering votes. */
    CLAIMING,
    /** The request was handed to the backend server. */
    DISPATCHED,
    /** The attempt ended and its outcome is known. */
    ENDED,
    /** The attempt was abandoned before it was dispatched. */
    ABORTED,
    /** The host knows nothing about the attempt. */
    NOT_KNOWN
}
