package org.guavathread.router.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into the {@code data} fields of server-sent events, each on one line. Other fields and comments
 * are skipped.
 */
final class SseReader {

    // Longer than any token; bounds the memory that a broken engine can take.
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Reads the next bytes.
     *
     * @return the values of the data fields that are complete by now
     * @throws IllegalStateException if a line is too long
     */
    List<String> read(byte[] bytes) {
        List<String> data = new ArrayList<>();
        for (byte next : bytes) {
            if (next != '\n') {
                line.write(next);
            } else {
                String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
                line.reset();
                if (text.startsWith("data:")) {
                    data.add(text.substring("data:".length()).stripLeading());
                }
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IllegalStateException("a line of the stream is longer than " + MAX_LINE_BYTES + " bytes");
            }
        }
        return data;
    }
}
