package org.guavathread.bench.claims;

/** The claim protocol that a schedule runs: the chosen one, or a variant without one of its rules. */
public enum ClaimDesign {
    /** Five voters, all rules in force. */
    CHOSEN(5),
    /** One voter per key and no failover; a restarted voter abstains. */
    ONE_HOME(1),
    /** One voter per key, which votes with empty memory directly after a restart. */
    ONE_HOME_NO_ABSTENTION(1),
    /** Five voters, which vote with empty memory directly after a restart. */
    NO_ABSTENTION(5),
    /** Aborts are confirmed without refusing attempts that arrived before them. */
    NO_BARRIER(5),
    /** Coordinators count only the earlier epochs that they remember themselves. */
    NO_REPORTED_EPOCHS(5);

    private final int voterCount;

    ClaimDesign(int voterCount) {
        this.voterCount = voterCount;
    }

    int voterCount() {
        return voterCount;
    }

    boolean abstainsAfterRestart() {
        return this != NO_ABSTENTION && this != ONE_HOME_NO_ABSTENTION;
    }
}
