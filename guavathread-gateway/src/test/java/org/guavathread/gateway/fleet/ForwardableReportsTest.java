package org.guavathread.gateway.fleet;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against datagrams that stay half empty, and against encoding each of them several times. */
class ForwardableReportsTest {

    private static final int MAX_BYTES = 1_400;
    private static final int OTHER_BYTES = 500;

    private final ForwardableReports forwardable = new ForwardableReports(MAX_BYTES);
    private int encodings;

    @Test
    void datagramsAreFullAndMostAreEncodedOnce() {
        play(200, 10);
        encodings = 0;
        assertEquals(4, play(200, 80));
        assertTrue(encodings <= 80 * 5 / 4, "encodings: " + encodings);
    }

    @Test
    void moreReportsAreForwardedOnceTheyAreShorter() {
        assertEquals(1, play(600, 20));
        assertEquals(8, play(100, 80));
    }

    @Test
    void fewerReportsAreForwardedOnceTheyAreLonger() {
        assertEquals(8, play(100, 20));
        assertEquals(0, play(1_000, 1));
    }

    /** Sends datagrams with reports of a length; returns the number of reports in the last one. */
    private int play(int reportBytes, int datagrams) {
        int reports = 0;
        for (int i = 0; i < datagrams; i++) {
            reports = forwardable.next();
            encodings++;
            while (reports > 0 && OTHER_BYTES + reports * reportBytes > MAX_BYTES) {
                reports--;
                encodings++;
                forwardable.tooMany(reportBytes);
            }
            forwardable.sent(reports, OTHER_BYTES + reports * reportBytes);
        }
        return reports;
    }
}
