package org.guavathread.core.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetDelta;
import org.guavathread.core.sheet.SheetWriter;

/** Serves the newest sheet of a host to its peers, as deltas if the peer has a recent version. */
final class SheetSource {

    /** Half of the largest frame, so that other messages on the connection are not delayed for long. */
    static final int CHUNK_BYTES = 128 * 1024;

    /** A host that is further behind gets the whole sheet. */
    private static final int DELTAS_KEPT = 16;

    private record VersionDelta(SheetVersion from, String fromDigest, byte[] bytes) {}

    private final List<VersionDelta> deltas = new ArrayList<>();
    private final Map<SheetVersion, byte[]> encodedByBase = new LinkedHashMap<>();
    private Sheet sheet;
    private String digest = "";

    void sheet(Sheet next, String nextDigest) {
        if (sheet != null) {
            deltas.add(new VersionDelta(sheet.version(), digest, SheetDelta.between(sheet, next)));
            if (deltas.size() > DELTAS_KEPT) {
                deltas.remove(0);
            }
        }
        sheet = next;
        digest = nextDigest;
        encodedByBase.clear();
    }

    SheetVersion version() {
        return sheet == null ? SheetVersion.NONE : sheet.version();
    }

    SheetOffer offer() {
        return new SheetOffer(version(), digest);
    }

    /** Returns a chunk; if the requested version is no longer the newest, the first chunk of the newest sheet. */
    SheetChunk chunk(SheetRequest request) {
        if (sheet == null || !version().isNewerThan(request.have())) {
            return sheet == null
                    ? SheetChunk.NONE
                    : new SheetChunk(version(), digest, SheetVersion.NONE, 0, 0, new byte[0]);
        }
        SheetVersion base = baseFor(request);
        byte[] encoded = encodedByBase.computeIfAbsent(base, this::encode);
        int offset = request.wanted().equals(version()) ? Math.max(0, Math.min(request.offset(), encoded.length)) : 0;
        byte[] bytes = Arrays.copyOfRange(encoded, offset, Math.min(encoded.length, offset + CHUNK_BYTES));
        return new SheetChunk(version(), digest, base, offset, encoded.length, bytes);
    }

    private SheetVersion baseFor(SheetRequest request) {
        return deltas.stream()
                .filter(delta -> delta.from().equals(request.have())
                        && delta.fromDigest().equals(request.haveDigest()))
                .map(VersionDelta::from)
                .findFirst()
                .orElse(SheetVersion.NONE);
    }

    private byte[] encode(SheetVersion base) {
        if (base.equals(SheetVersion.NONE)) {
            return SheetEncoding.encode(List.of(SheetWriter.write(sheet)));
        }
        return SheetEncoding.encode(deltas.stream()
                .filter(delta -> !base.isNewerThan(delta.from()))
                .map(VersionDelta::bytes)
                .toList());
    }
}
