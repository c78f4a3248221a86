package org.guavathread.core.membership;

import java.util.List;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Answers a {@link WitnessPing}.
 *
 * @param asked the epoch that was asked about
 * @param sender the asking run, from the ping
 * @param sentAtMillis the asking host's clock, from the ping
 * @param witness the run of the witness
 * @param memory what the witness remembers of its earlier run
 * @param epoch the newest epoch that the witness knows
 * @param settled whether that epoch is settled
 * @param sheetVersion the sheet of the witness
 * @param lineage the epochs before it, newest first; empty if not asked for
 */
public record WitnessReply(
        EpochId asked,
        Incarnation sender,
        long sentAtMillis,
        Incarnation witness,
        WitnessMemory memory,
        EpochId epoch,
        boolean settled,
        SheetVersion sheetVersion,
        List<LineageEntry> lineage)
        implements PeerMessage {

    /** Copies the list. */
    public WitnessReply {
        lineage = List.copyOf(lineage);
    }

    /**
     * Tells whether the witness has the asked epoch in force, so that from now on it supports no older one.
     *
     * @return true if the witness knows the asked epoch and no newer one
     */
    public boolean confirms() {
        return epoch.equals(asked) && !asked.equals(EpochId.UNKNOWN);
    }

    /**
     * Tells whether the witness supports a lease of the asked epoch.
     *
     * @return true if it also remembers, or was told again, which epochs it confirmed before it restarted
     */
    public boolean vouches() {
        return confirms() && memory.isComplete();
    }
}
