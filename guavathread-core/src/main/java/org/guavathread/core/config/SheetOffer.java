package org.guavathread.core.config;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * Tells a peer that the sender has a version of the sheet.
 *
 * @param version the version
 * @param digest digest of its canonical form
 */
public record SheetOffer(SheetVersion version, String digest) implements PeerMessage {}
