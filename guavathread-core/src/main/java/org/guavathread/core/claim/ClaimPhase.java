package org.guavathread.core.claim;

/** Where a coordinator stands. */
enum ClaimPhase {
    /** Votes are asked for. */
    CLAIMING,
    /** A split vote was given up; a new attempt follows. */
    BACKING_OFF,
    /** The key is held, and the shell prepares the dispatch. */
    GRANTED,
    /** The request was sent to the backend server. */
    DISPATCHED,
    /** Voters are asked to confirm that the request does not run. */
    ABORTING,
    /** Another attempt holds the key, and its outcome is asked for. */
    FOLLOWING,
    /** The caller was answered. */
    ENDED
}
