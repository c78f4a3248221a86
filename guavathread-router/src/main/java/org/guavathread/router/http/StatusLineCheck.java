package org.guavathread.router.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Checks the first bytes of an answer: the codec takes more or fewer than three digits, and signs, as a status. */
final class StatusLineCheck {

    /** Each letter stands for itself, v for 0 or 1, s for 2 to 5, d for a digit, and _ for the end of the status. */
    private static final byte[] PATTERN = "HTTP/1.v sdd_".getBytes(StandardCharsets.US_ASCII);

    private int checked;

    /** Checks the next bytes, without taking them; returns false if they are no status line with a final status. */
    boolean accepts(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit() && checked < PATTERN.length; i++) {
            if (!matches(PATTERN[checked], bytes.get(i))) {
                return false;
            }
            checked++;
        }
        return true;
    }

    private static boolean matches(byte expected, byte actual) {
        return switch (expected) {
            case 'v' -> actual == '0' || actual == '1';
            case 's' -> actual >= '2' && actual <= '5';
            case 'd' -> actual >= '0' && actual <= '9';
            case '_' -> actual == ' ' || actual == '\r' || actual == '\n';
            default -> actual == expected;
        };
    }
}
