package org.guavathread.core.claim;

/** What a voter says to a claim or to an abort. */
public enum ClaimVote {
    /** The attempt holds the key at this voter. */
    GRANTED(false),
    /** The abort is recorded: no attempt that arrived before its barrier gets a vote of this voter. */
    CONFIRMED(false),
    /** Another attempt holds the key. */
    HELD(false),
    /** The attempt arrived before the barrier of a confirmed abort. */
    BARRED(false),
    /** The attempt was aborted before. */
    ABORTED(false),
    /** The dispatch deadline of the attempt passed, or its arrival lies in the future. */
    LATE(false),
    /** The key was issued longer than the retention ago. */
    EXPIRED(false),
    /** The voter may have forgotten an older claim on this key. */
    ABSTAINED(false),
    /** The host is no voter of this key in any epoch that counts. */
    NOT_VOTER(false),
    /** The voter has no room for another key. */
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
     * Tells whether the same question may get another answer within the dispatch deadline.
     *
     * @return true if it is useful to ask again
     */
    public boolean mayChange() {
        return mayChange;
    }
}
