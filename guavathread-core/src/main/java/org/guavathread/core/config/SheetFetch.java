package org.guavathread.core.config;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetDelta;
import org.guavathread.core.sheet.SheetFault;
import org.guavathread.core.sheet.SheetReadResult;
import org.guavathread.core.sheet.SheetReader;

/** Fetches one sheet from one peer, chunk by chunk. */
final class SheetFetch {

    /** The fetch is abandoned if the next chunk has not arrived by then; a chunk takes a few milliseconds. */
    private static final long CHUNK_DEADLINE_MILLIS = 1_000;

    /** No sheet is larger; the limit keeps a faulty peer from exhausting the memory. */
    private static final int MAX_ENCODED_BYTES = 16 * 1024 * 1024;

    private final HostId from;
    private final SheetVersion expected;
    private final SheetVersion have;
    private final String haveDigest;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private SheetChunk first;
    private long chunkDeadlineMillis;

    SheetFetch(HostId from, SheetVersion expected, SheetVersion have, String haveDigest, long nowMillis) {
        this.from = from;
        this.expected = expected;
        this.have = have;
        this.haveDigest = haveDigest;
        this.chunkDeadlineMillis = nowMillis + CHUNK_DEADLINE_MILLIS;
    }

    HostId from() {
        return from;
    }

    SheetVersion expected() {
        return first == null ? expected : first.version();
    }

    boolean isOverdue(long nowMillis) {
        return nowMillis >= chunkDeadlineMillis;
    }

    SheetRequest nextRequest() {
        return first == null
                ? new SheetRequest(have, haveDigest, SheetVersion.NONE, 0)
                : new SheetRequest(have, haveDigest, first.version(), received.size());
    }

    /** Adds a chunk; returns false if it is not the next one, for example a duplicate, and needs no further request. */
    boolean add(SheetChunk chunk, long nowMillis) {
        boolean sameSheet = first != null
                && chunk.version().equals(first.version())
                && chunk.digest().equals(first.digest())
                && chunk.base().equals(first.base())
                && chunk.totalBytes() == first.totalBytes();
        if (!sameSheet) {
            if (chunk.offset() != 0 || first != null && first.version().isNewerThan(chunk.version())) {
                return false;
            }
            received.reset();
            first = chunk;
        }
        if (chunk.offset() != received.size() || chunk.totalBytes() > MAX_ENCODED_BYTES) {
            return false;
        }
        received.writeBytes(chunk.bytes());
        chunkDeadlineMillis = nowMillis + CHUNK_DEADLINE_MILLIS;
        return true;
    }

    boolean isComplete() {
        return first != null && received.size() >= first.totalBytes();
    }

    /** Reads the sheet; empty if the digest differs or the deltas do not apply, so that the whole sheet must be fetched. */
    Optional<SheetReadResult> read(Sheet base) {
        SheetReadResult reading;
        try {
            List<byte[]> documents = SheetEncoding.decode(received.toByteArray());
            if (first.base().equals(SheetVersion.NONE)) {
                reading = documents.size() == 1 ? SheetReader.read(documents.get(0)) : malformed("has no single sheet");
            } else {
                reading = base != null && base.version().equals(first.base())
                        ? SheetDelta.apply(base, documents)
                        : malformed("starts from another version");
            }
        } catch (IOException e) {
            reading = malformed("cannot be unpacked: " + e.getMessage());
        }
        if (reading instanceof SheetReadResult.Valid valid && !valid.digest().equals(first.digest())) {
            return Optional.empty();
        }
        boolean isDelta = !first.base().equals(SheetVersion.NONE);
        return isDelta && !(reading instanceof SheetReadResult.Valid) ? Optional.empty() : Optional.of(reading);
    }

    private SheetReadResult malformed(String problem) {
        String message = "What peer " + from + " sent as sheet " + first.version() + " " + problem
                + "; check that both hosts run the same release.";
        return new SheetReadResult.Invalid(first.version().value(), List.of(new SheetFault("", message)));
    }
}
