package org.guavathread.core.publish;

import java.util.List;

import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that starts with what an older copy of the store says, and against one that waits for nobody. */
class StartSynchronisationTest {

    private static final SocketAddressText OWN = new SocketAddressText("10.0.0.1", 7_500);
    private static final SocketAddressText SEED = new SocketAddressText("10.0.0.2", 7_500);
    private static final SocketAddressText OTHER = new SocketAddressText("10.0.0.3", 7_500);

    private final StartSynchronisation start = new StartSynchronisation(OWN, 1_400);

    @Test
    void eachHostButThisOneIsAskedOnce() {
        assertEquals(List.of(SEED), start.next(List.of(OWN, SEED)));
        assertEquals(List.of(OTHER), start.next(List.of(OWN, SEED, OTHER)));
    }

    @Test
    void storeIsReadOnceAHostHasAnswered() {
        assertFalse(start.isDone(1_000));
        start.answered();
        assertTrue(start.isDone(1_000));
    }

    @Test
    void hostWhoseSeedsAreDownGoesOnAlone() {
        start.next(List.of(SEED));
        assertFalse(start.isDone(1_399));
        assertTrue(start.isDone(1_400));
    }
}
