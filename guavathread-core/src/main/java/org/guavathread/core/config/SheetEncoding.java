package org.guavathread.core.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** The compressed encoding of documents sent between hosts; each document is preceded by its length. */
final class SheetEncoding {

    /** Limits how much memory a malformed length can make a host allocate; 14,000 workspaces take under 3 MB. */
    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

    private SheetEncoding() {}

    static byte[] encode(List<byte[]> documents) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(new GZIPOutputStream(bytes))) {
            for (byte[] document : documents) {
                out.writeInt(document.length);
                out.write(document);
            }
            out.writeInt(-1);
        } catch (IOException e) {
            throw new UncheckedIOException("Compressing in memory failed.", e);
        }
        return bytes.toByteArray();
    }

    static List<byte[]> decode(byte[] encoded) throws IOException {
        List<byte[]> documents = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new GZIPInputStream(new ByteArrayInputStream(encoded)))) {
            long total = 0;
            for (int length = in.readInt(); length >= 0; length = in.readInt()) {
                total += length;
                if (total > MAX_DOCUMENT_BYTES) {
                    throw new IOException("The documents have over " + MAX_DOCUMENT_BYTES + " bytes.");
                }
                byte[] document = in.readNBytes(length);
                if (document.length < length) {
                    throw new IOException("A document ends after " + document.length + " of " + length + " bytes.");
                }
                documents.add(document);
            }
        }
        return documents;
    }
}
