package org.guavathread.core.dispatch;

import java.util.List;
import java.util.OptionalLong;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how long and for which process a pause holds. */
class ServerPausesTest {

    private static final Worker ONE = worker("i-1", 5);
    private static final Worker TWO = worker("i-2", 5);

    private final ServerPauses pauses = new ServerPauses();

    private static Worker worker(String id, long startedAtMillis) {
        return new Worker(
                new BackendServerId(id),
                new ServiceName("plain"),
                new SocketAddressText("10.1.0.3", 8_080),
                new DataCentreId("talca"),
                6,
                false,
                EngineStage.NONE,
                new SoftwareVersion("v1"),
                startedAtMillis);
    }

    @Test
    void pauseHoldsUntilItsEnd() {
        pauses.state(ONE, 2_000, 1_000);
        assertTrue(pauses.isPaused(ONE, 1_999));
        assertFalse(pauses.isPaused(ONE, 2_000));
        assertEquals(List.of(TWO), pauses.withoutPause(List.of(ONE, TWO), 1_000));
        assertEquals(1, pauses.size(1_000));
        assertEquals(0, pauses.size(2_000));
    }

    @Test
    void laterStatementExtendsAPauseAndNeverShortensIt() {
        pauses.state(ONE, 2_000, 1_000);
        pauses.state(ONE, 1_500, 1_000);
        assertTrue(pauses.isPaused(ONE, 1_999));
        pauses.state(ONE, 3_000, 1_000);
        assertTrue(pauses.isPaused(ONE, 2_999));
    }

    @Test
    void pauseConcernsTheProcessThatAskedForIt() {
        Worker next = worker("i-1", 3_001);
        pauses.state(ONE, 4_000, 1_000);
        assertFalse(pauses.isPaused(next, 3_100));
        pauses.state(next, 3_300, 3_100);
        assertTrue(pauses.isPaused(next, 3_299));
        assertFalse(pauses.isPaused(next, 3_300));
    }

    @Test
    void pauseConcernsAProcessThatMayHaveAskedForItBeforeItsEntryStood() {
        pauses.state(ONE, 9_000, 1_000);
        assertTrue(pauses.isPaused(worker("i-1", 900), 8_999));
        assertTrue(pauses.isPaused(worker("i-1", 3_000), 8_999), "within the difference of the clocks");
        assertFalse(pauses.isPaused(worker("i-1", 3_001), 1_000));
    }

    @Test
    void pauseOfALaterProcessDoesNotGiveWayToAnEarlierOnes() {
        Worker next = worker("i-1", 8_000);
        pauses.state(next, 9_000, 5_000);
        pauses.state(ONE, 12_000, 5_100);
        assertFalse(pauses.isPaused(next, 9_000));
    }

    @Test
    void firstReturnIsKnownOnlyIfAllServersPause() {
        assertEquals(OptionalLong.empty(), pauses.firstReturnMillis(List.of(), 1_000));
        pauses.state(ONE, 2_000, 1_000);
        assertEquals(OptionalLong.empty(), pauses.firstReturnMillis(List.of(ONE, TWO), 1_000));
        pauses.state(TWO, 1_800, 1_000);
        assertEquals(OptionalLong.of(1_800), pauses.firstReturnMillis(List.of(ONE, TWO), 1_000));
    }

    @Test
    void pausesThatHaveEndedAreRemoved() {
        pauses.state(ONE, 2_000, 1_000);
        pauses.state(TWO, 5_000, 2_000);
        assertEquals(1, pauses.size(1_500));
    }
}
