package org.guavathread.router.caller;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against treating a request that waited in the socket of a paused host as one that has just arrived. */
class PauseDetectorTest {

    private final AtomicLong now = new AtomicLong(10_000);
    private final PauseDetector detector = new PauseDetector(now::get);

    @Test
    void requestReadAfterAPauseGetsTheTimeOfItsStart() {
        assertEquals(10_000, detector.arrivalMillis());
        now.set(18_000);
        assertEquals(10_000, detector.arrivalMillis());
        now.set(18_200);
        assertEquals(10_000, detector.arrivalMillis());
    }

    @Test
    void requestsLongAfterAPauseGetTheCurrentTime() {
        now.set(18_000);
        detector.arrivalMillis();
        for (long t = 18_050; t <= 19_200; t += 50) {
            now.set(t);
            detector.tick();
        }
        now.set(19_250);
        assertEquals(19_250, detector.arrivalMillis());
    }

    @Test
    void shortDelaysAreNotPauses() {
        now.set(10_200);
        assertEquals(10_200, detector.arrivalMillis());
    }
}
