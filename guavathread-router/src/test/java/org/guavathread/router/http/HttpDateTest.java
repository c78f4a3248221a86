package org.guavathread.router.http;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against {@code Date} headers that callers cannot read. */
class HttpDateTest {

    private static final DateTimeFormatter EXPECTED =
            DateTimeFormatter.ofPattern("EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.US);

    @Test
    void formatsTheExampleOfTheStandard() {
        assertEquals("Sun, 06 Nov 1994 08:49:37 GMT", HttpDate.at(784_111_777_000L));
        assertEquals("Sun, 06 Nov 1994 08:49:37 GMT", HttpDate.at(784_111_777_999L));
    }

    @Test
    void agreesWithTheLibraryAtAnyTime() {
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 2_000; i++) {
            Instant time = Instant.ofEpochMilli(random.nextLong(4_102_444_800_000L));
            assertEquals(EXPECTED.format(time.atOffset(ZoneOffset.UTC)), HttpDate.at(time.toEpochMilli()));
        }
    }
}
