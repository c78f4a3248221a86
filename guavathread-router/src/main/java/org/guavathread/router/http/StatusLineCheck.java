package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;

/**
 * Checks the first line of an answer, byte by byte (RFC 9112, section 4). The status must be a final one. Servers may leave
 * out the blank before an empty reason.
 */
final class StatusLineCheck {

    /** Each letter stands for itself, v for 0 or 1, s for 2 to 5, d for a digit, and _ for the end of the status. */
    private static final byte[] PATTERN = "HTTP/1.v sdd_".getBytes(StandardCharsets.US_ASCII);

    private int checked;
    private boolean afterCarriageReturn;
    private boolean complete;

    /**
     * Checks the next byte.
     *
     * @throws MalformedMessageException if it cannot be part of a status line
     */
    void accept(byte next) throws MalformedMessageException {
        if (!isExpected(next)) {
            throw new MalformedMessageException("The answer does not begin with a status line of HTTP/1.1: byte "
                    + (checked + 1) + " is " + HttpBytes.show(next) + ".");
        }
        checked++;
        complete = afterCarriageReturn;
        afterCarriageReturn = next == '\r';
    }

    private boolean isExpected(byte next) {
        if (afterCarriageReturn) {
            return next == '\n';
        }
        return checked < PATTERN.length ? matches(PATTERN[checked], next) : next == '\r' || HttpBytes.isText(next);
    }

    private static boolean matches(byte expected, byte actual) {
        return switch (expected) {
            case 'v' -> actual == '0' || actual == '1';
            case 's' -> actual >= '2' && actual <= '5';
            case 'd' -> actual >= '0' && actual <= '9';
            case '_' -> actual == ' ' || actual == '\r';
            default -> actual == expected;
        };
    }

    boolean isComplete() {
        return complete;
    }
}
