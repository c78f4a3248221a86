package org.guavathread.core.config;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks a peer for its newest sheet, or for the next chunk of it.
 *
 * @param have the newest version that the sender has, so that only the deltas since then need to be sent
 * @param haveDigest digest of that version; empty if the whole sheet is requested
 * @param wanted the version whose chunk is requested; {@link SheetVersion#NONE} for the newest
 * @param offset index of the first requested byte
 */
public record SheetRequest(SheetVersion have, String haveDigest, SheetVersion wanted, int offset)
        implements PeerMessage {}
