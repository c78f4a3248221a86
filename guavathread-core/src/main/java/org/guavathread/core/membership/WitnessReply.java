package org.guavathread.core.membership;

import java.util.List;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Answers a {@link WitnessPing}.
 *
 * @param pingEpoch the epoch in the ping
 * @param sender the incarnation of the ping's sender, from the ping
 * @param sentAtMillis the sending time on the clock of the ping's sender, from the ping
 * @param witness the incarnation of the witness
 * @param memory whether the witness knows the epochs that its earlier incarnations confirmed
 * @param epoch the newest epoch that the witness knows
 * @param settled whether that epoch is settled
 * @param sheetVersion the version of the witness's sheet
 * @param lineage the epochs before its epoch, newest first; empty if not requested
 */
public record WitnessReply(
        EpochId pingEpoch,
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
     * Tells whether the witness has the epoch of the ping in force, and therefore no longer supports an older one.
     *
     * @return true if the witness knows the epoch of the ping and no newer one
     */
    public boolean confirms() {
        return epoch.equals(pingEpoch) && !pingEpoch.equals(EpochId.UNKNOWN);
    }

    /**
     * Tells whether the witness supports a lease of the epoch of the ping.
     *
     * @return true if it confirms the epoch and has not lost, or has recovered, the epochs confirmed before a restart
     */
    public boolean supportsLease() {
        return confirms() && memory.isComplete();
    }
}
