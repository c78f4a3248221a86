package org.guavathread.core.config;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * A range of the bytes of an encoded sheet.
 *
 * @param version the version; {@link SheetVersion#NONE} if the sender has no sheet
 * @param digest digest of its canonical form
 * @param base the version that the deltas in the bytes start from; {@link SheetVersion#NONE} for a whole sheet
 * @param offset index of the first byte
 * @param totalBytes total size of all chunks
 * @param bytes the bytes of this chunk
 */
public record SheetChunk(
        SheetVersion version, String digest, SheetVersion base, int offset, int totalBytes, byte[] bytes)
        implements PeerMessage {

    static final SheetChunk NONE = new SheetChunk(SheetVersion.NONE, "", SheetVersion.NONE, 0, 0, new byte[0]);

    boolean isNone() {
        return version.equals(SheetVersion.NONE);
    }

    boolean isLast() {
        return offset + bytes.length >= totalBytes;
    }
}
