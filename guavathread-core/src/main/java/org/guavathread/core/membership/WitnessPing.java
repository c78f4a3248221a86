package org.guavathread.core.membership;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks a witness whether it knows a newer epoch, and reports the sender's epoch.
 *
 * @param epoch the sender's epoch; {@link EpochId#UNKNOWN} if it has restarted and does not know its number
 * @param sheetVersion the version of the sender's sheet, so that a witness with an older one fetches it
 * @param sender the sender's incarnation, returned in the reply
 * @param sentAtMillis the sending time on the sender's clock, returned in the reply
 * @param wantLineage whether the reply should list superseded epochs
 */
public record WitnessPing(
        EpochId epoch, SheetVersion sheetVersion, Incarnation sender, long sentAtMillis, boolean wantLineage)
        implements PeerMessage {}
