package org.guavathread.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

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

    /** Maximum size of an event; a longer one is no event of a language model, whose events hold a few tokens. */
    public static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";

    /** The fields of event streams, extensions in lower case, and comments. */
    private static final Pattern FIELD_OR_COMMENT = Pattern.compile("(id|event|data|retry|x-[a-z-]+)?:");

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private String lastEventId;
    private int events;
    private int contentLines;
    private boolean malformed;

    /**
     * Accepts the next bytes of a stream.
     *
     * @param bytes the bytes as received
     * @return the bytes of all events that are now complete, unchanged; possibly empty
     */
    public byte[] accept(byte[] bytes) {
        // An event ends with a line feed, so without one there is nothing to search for.
        boolean mayEndEvent = indexOfLineFeed(bytes) >= 0;
        partial.writeBytes(bytes);
        if (!mayEndEvent) {
            return new byte[0];
        }
        byte[] all = partial.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] whole = java.util.Arrays.copyOf(all, end);
        partial.reset();
        partial.write(all, end, all.length - end);
        recordFields(new String(whole, StandardCharsets.UTF_8));
        return whole;
    }

    private static int indexOfLineFeed(byte[] bytes) {
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    /**
     * Tells whether the incomplete event is longer than any event may be.
     *
     * @return true if the stream must be ended
     */
    public boolean isTooLong() {
        return partial.size() > MAX_EVENT_BYTES;
    }

    /**
     * Tells whether bytes of an incomplete event are buffered.
     *
     * @return true in the middle of an event
     */
    public boolean hasPartial() {
        return partial.size() > 0;
    }

    /**
     * Returns how many lines with an id or data complete events had. Comments, which servers send to keep a connection
     * open, have neither.
     *
     * @return number of lines; grows with each event that has content
     */
    public int contentLines() {
        return contentLines;
    }

    /**
     * Tells whether a complete event had a line that is neither a field nor a comment, such as the text of an error.
     *
     * @return true if the bytes are no event stream
     */
    public boolean isMalformed() {
        return malformed;
    }

    /**
     * Tells whether the stream, if it ends now, had a line that is neither a field nor a comment.
     *
     * @return true if the bytes, those of an incomplete event included, are no event stream
     */
    public boolean isMalformedAtEnd() {
        return malformed || hasMalformedLine(partial.toString(StandardCharsets.UTF_8));
    }

    private static boolean hasMalformedLine(String text) {
        return text.lines()
                .anyMatch(line ->
                        !line.isEmpty() && !FIELD_OR_COMMENT.matcher(line).lookingAt());
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

    private void recordFields(String whole) {
        malformed |= hasMalformedLine(whole);
        for (String line : whole.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                lastEventId = line.substring(ID_FIELD.length()).strip();
                events++;
                contentLines++;
            } else if (line.startsWith(DATA_FIELD)) {
                contentLines++;
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
