package org.guavathread.core.claim;

/** The phase of a coordinator. */
enum ClaimPhase {
    /** Votes have been requested. */
    CLAIMING,
    /** The vote was split; a new attempt follows after the backoff. */
    BACKING_OFF,
    /** The attempt holds the key, and the I/O layer prepares the dispatch. */
    GRANTED,
    /** The request was sent to the backend server. */
    DISPATCHED,
    /** Voters have been asked to confirm that the request does not run. */
    ABORTING,
    /** Another attempt holds the key, and its outcome is queried. */
    AWAITING_OUTCOME,
    /** The caller was answered. */
    ENDED
}
