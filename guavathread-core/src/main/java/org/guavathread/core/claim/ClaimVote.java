package org.guavathread.core.claim;

/** The vote on a claim or on an abort. */
public enum ClaimVote {
    /** The attempt holds the key at this voter. */
    GRANTED(false),
    /** The abort is recorded: this voter grants the key to no attempt that arrived before its barrier. */
    CONFIRMED(false),
    /** Another attempt holds the key. */
    HELD(false),
    /** The attempt arrived before the barrier of a confirmed abort. */
    BARRED(false),
    /** The attempt was aborted before. */
    ABORTED(false),
    /** The dispatch deadline of the attempt has passed, or its time of arrival or its barrier is too far in the future. */
    LATE(false),
    /** The key was issued longer than the retention ago. */
    EXPIRED(false),
    /** The voter may have forgotten an older claim on this key. */
    ABSTAINED(false),
    /** The host is not a voter of this key in the current epoch or in an earlier one that still counts. */
    NOT_VOTER(false),
    /** The voter has reached its limit of recorded keys. */
    FULL(false),
    /** The voter does not hold the lease of its epoch. */
    NO_LEASE(true),
    /** The voter knows a newer epoch than the coordinator. */
    OLD_EPOCH(true),
    /** The voter does not know the epoch of the coordinator yet, or the epoch is not settled. */
    NOT_YET(true);

    private final boolean mayChange;

    ClaimVote(boolean mayChange) {
        this.mayChange = mayChange;
    }

    /**
     * Tells whether the voter may vote differently on the same request before the dispatch deadline.
     *
     * @return true if the request should be sent again
     */
    public boolean mayChange() {
        return mayChange;
    }
}
