package org.guavathread.router.http;

/** Checks a section of field lines, up to the empty line that ends it, byte by byte (RFC 9112, section 5). */
final class FieldLines {

    private enum Part {
        LINE_START,
        NAME,
        VALUE,
        LINE_FEED,
        END_LINE_FEED,
        COMPLETE
    }

    private Part part = Part.LINE_START;

    /**
     * Checks the next byte.
     *
     * @throws MalformedMessageException if it cannot be part of a section that follows the grammar
     */
    void accept(byte next) throws MalformedMessageException {
        part = switch (part) {
            case LINE_START -> next == '\r' ? Part.END_LINE_FEED : name(next);
            case NAME -> next == ':' ? Part.VALUE : name(next);
            case VALUE -> next == '\r' ? Part.LINE_FEED : value(next);
            case LINE_FEED -> lineFeed(next, Part.LINE_START);
            case END_LINE_FEED -> lineFeed(next, Part.COMPLETE);
            case COMPLETE -> throw new IllegalStateException("The section is complete.");
        };
    }

    private static Part name(byte next) throws MalformedMessageException {
        if (!HttpBytes.isToken(next)) {
            throw new MalformedMessageException("A line is no field: its name, which ends with a colon, holds the byte "
                    + HttpBytes.show(next) + ".");
        }
        return Part.NAME;
    }

    private static Part value(byte next) throws MalformedMessageException {
        if (!HttpBytes.isText(next)) {
            throw new MalformedMessageException(
                    "The value of a field holds the control character " + HttpBytes.show(next) + ".");
        }
        return Part.VALUE;
    }

    private static Part lineFeed(byte next, Part following) throws MalformedMessageException {
        if (next != '\n') {
            throw new MalformedMessageException(
                    "A carriage return is followed by the byte " + HttpBytes.show(next) + ", not by a line feed.");
        }
        return following;
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }
}
