package org.guavathread.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded and a broken
 * stream can be resumed after the last one.
 *
 * <pre>{@code
 * byte[] whole = framer.accept(bytes);
 * Optional<String> resumeAfter = framer.lastEventId();
 * }</pre>
 */
public final class EventFramer {

    /** Maximum size of an event that is buffered until it is complete; larger ones are forwarded in parts. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private String lastEventId;
    private int events;

    /**
     * Accepts the next bytes of a stream.
     *
     * @param bytes the bytes as received
     * @return the bytes of all events that are now complete, unchanged; possibly empty
     */
    public byte[] accept(byte[] bytes) {
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0 && all.length <= MAX_EVENT_BYTES) {
            return new byte[0];
        }
        int cut = end == 0 ? all.length : end;
        byte[] whole = java.util.Arrays.copyOf(all, cut);
        partial.reset();
        partial.write(all, cut, all.length - cut);
        recordEventIds(new String(whole, StandardCharsets.UTF_8));
        return whole;
    }

    /**
     * Returns and clears the bytes of an incomplete event.
     *
     * @return the bytes after the last complete event
     */
    public byte[] takePartial() {
        byte[] rest = partial.toByteArray();
        partial.reset();
        return rest;
    }

    /**
     * Returns the id of the last complete event.
     *
     * @return the id, or empty if no complete event had one
     */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    /**
     * Returns the number of complete events that have an id.
     *
     * @return number of events
     */
    public int events() {
        return events;
    }

    private void recordEventIds(String whole) {
        for (String line : whole.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                lastEventId = line.substring(ID_FIELD.length()).strip();
                events++;
            }
        }
    }

    /** An event ends with an empty line; line ends may be LF or CR LF. */
    private static int endOfLastEvent(byte[] bytes) {
        int lineStart = 0;
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean empty = i == lineStart || i == lineStart + 1 && bytes[lineStart] == '\r';
            if (empty) {
                end = i + 1;
            }
            lineStart = i + 1;
        }
        return end;
    }
}
