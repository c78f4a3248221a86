package org.guavathread.core.publish;

import java.util.List;

import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that starts with an outdated state of the store or of another host, or waits for nobody. */
class StartSynchronisationTest {

    private static final SocketAddressText OWN = new SocketAddressText("10.0.0.1", 7_500);
    private static final SocketAddressText SEED = new SocketAddressText("10.0.0.2", 7_500);
    private static final SocketAddressText OTHER = new SocketAddressText("10.0.0.3", 7_500);
    private static final long START_MILLIS = 1_000;

    private final StartSynchronisation start = new StartSynchronisation(OWN, false, START_MILLIS);

    @Test
    void eachHostButThisOneIsAskedOnce() {
        assertEquals(List.of(SEED), start.next(List.of(OWN, SEED)));
        assertEquals(List.of(OTHER), start.next(List.of(OWN, SEED, OTHER)));
    }

    @Test
    void theStoreAloneIsNotEnough() {
        start.storeAnswered();
        assertFalse(start.isDone(START_MILLIS));
        start.hostAnswered();
        assertTrue(start.isDone(START_MILLIS));
    }

    @Test
    void anotherHostAloneIsNotEnough() {
        start.hostAnswered();
        assertFalse(start.isDone(START_MILLIS + StartSynchronisation.STORE_WAIT_MILLIS - 1));
        assertTrue(start.isDone(START_MILLIS + StartSynchronisation.STORE_WAIT_MILLIS), "the store may be away");
    }

    @Test
    void hostWhoseSeedsAreDownGoesOnAlone() {
        start.storeAnswered();
        assertFalse(start.isDone(START_MILLIS + StartSynchronisation.HOST_WAIT_MILLIS - 1));
        assertTrue(start.isDone(START_MILLIS + StartSynchronisation.HOST_WAIT_MILLIS));
    }

    @Test
    void theFirstStartOfAFleetWaitsForNobody() {
        assertTrue(new StartSynchronisation(OWN, true, START_MILLIS).isDone(START_MILLIS));
    }
}
