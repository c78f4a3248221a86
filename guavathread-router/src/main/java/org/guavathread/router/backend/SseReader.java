package org.guavathread.router.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Extracts the {@code data} fields of server-sent events from a byte stream. Each line with such a field is a
 * value of its own; other fields and comments are skipped.
 */
final class SseReader {

    // Exceeds the length of any token, and bounds the memory that a faulty engine can make the reader use.
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Processes the next bytes.
     *
     * @return the values of the data fields that these bytes complete
     * @throws IllegalStateException if a line is too long
     */
    List<String> read(byte[] bytes) {
        List<String> data = new ArrayList<>();
        for (byte current : bytes) {
            if (current != '\n') {
                line.write(current);
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
