package org.guavathread.core.membership;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks a witness whether it knows a newer epoch, and tells it the sender's.
 *
 * @param epoch the sender's epoch; {@link EpochId#UNKNOWN} if it has restarted and does not know its number
 * @param sheetVersion the sender's sheet, so that a witness with an older one fetches it
 * @param sender the sender's run, given back in the reply
 * @param sentAtMillis the sender's clock, given back in the reply
 * @param wantLineage whether the reply is to list superseded epochs
 */
public record WitnessPing(
        EpochId epoch, SheetVersion sheetVersion, Incarnation sender, long sentAtMillis, boolean wantLineage)
        implements PeerMessage {}
