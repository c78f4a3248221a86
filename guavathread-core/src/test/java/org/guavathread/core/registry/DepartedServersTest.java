package org.guavathread.core.registry;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.DepartedServers.Departure;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what is remembered of servers that have left. */
class DepartedServersTest {

    private static final long EPOCH = 3;
    private static final long NOW_MILLIS = 1_000;

    private final DepartedServers departed = new DepartedServers();

    private static Worker worker(String id, long startedAtMillis, boolean draining) {
        return new Worker(
                new BackendServerId(id),
                new ServiceName("plain"),
                new SocketAddressText("10.1.0.3", 8_080),
                new DataCentreId("talca"),
                6,
                draining,
                EngineStage.NONE,
                new SoftwareVersion("v1"),
                startedAtMillis);
    }

    @Test
    void statedDepartureHoldsInTheEpochInWhichItWasStatedAndInLaterOnes() {
        Worker server = worker("i-1", 5, false);
        assertTrue(departed.recordStated(server, NOW_MILLIS));
        assertFalse(departed.recordStated(server, NOW_MILLIS + 1));
        for (long epoch : new long[] {0, EPOCH, EPOCH + 1}) {
            assertTrue(departed.hasLeft(server, epoch, false), "epoch " + epoch);
        }
        assertTrue(departed.hasStated(server));
    }

    @Test
    void statedDepartureDoesNotConcernALaterProcess() {
        departed.recordStated(worker("i-1", 5, false), NOW_MILLIS);
        assertFalse(departed.hasStated(worker("i-1", 6, false)));
        assertFalse(departed.hasLeft(worker("i-1", 6, false), EPOCH, true));
    }

    @Test
    void statedDepartureMayConcernAProcessThatHadBegunWhenItWasHeard() {
        departed.recordStated(worker("i-1", 5, false), NOW_MILLIS);
        assertFalse(departed.mayHaveStated(worker("i-1", 5, false)), "this one surely has");
        assertTrue(departed.mayHaveStated(worker("i-1", 6, false)));
        assertTrue(departed.mayHaveStated(worker("i-1", NOW_MILLIS + 2_000, false)), "within the clocks' difference");
        assertFalse(departed.mayHaveStated(worker("i-1", NOW_MILLIS + 2_001, false)));
        assertFalse(departed.mayHaveStated(worker("i-2", 6, false)));
    }

    @Test
    void processThatWasFoundInUseStaysInUseThoughOtherHostsReportTheDepartureAgain() {
        departed.recordStated(worker("i-1", 5, false), NOW_MILLIS);
        departed.foundInUse(worker("i-1", 6, false));
        departed.returned(worker("i-1", 6, false).id());
        departed.news(NOW_MILLIS + 1).forEach(each -> departed.merge(each, NOW_MILLIS + 1));
        assertFalse(departed.mayHaveStated(worker("i-1", 6, false)));
        assertTrue(departed.mayHaveStated(worker("i-1", 7, false)), "a later process has not been asked");
        departed.recordStated(worker("i-1", 6, false), NOW_MILLIS + 2);
        assertTrue(departed.hasStated(worker("i-1", 6, false)));
    }

    @Test
    void storesWordDoesNotReplaceAStatedDepartureOfTheSameProcess() {
        departed.recordStated(worker("i-1", 5, false), NOW_MILLIS);
        departed.record(worker("i-1", 5, true), EPOCH, NOW_MILLIS + 1);
        departed.record(worker("i-1", 5, false), EPOCH + 1, NOW_MILLIS + 2);
        assertTrue(departed.hasStated(worker("i-1", 5, false)));
    }

    @Test
    void statedDepartureReplacesTheStoresWordOfTheSameProcess() {
        departed.record(worker("i-1", 5, true), EPOCH, NOW_MILLIS);
        assertTrue(departed.recordStated(worker("i-1", 5, true), NOW_MILLIS + 1));
        assertTrue(departed.hasLeft(worker("i-1", 5, false), EPOCH, false));
    }

    @Test
    void laterProcessReplacesAStatedDeparture() {
        departed.recordStated(worker("i-1", 5, false), NOW_MILLIS);
        departed.record(worker("i-1", 6, true), EPOCH, NOW_MILLIS + 1);
        assertFalse(departed.hasStated(worker("i-1", 6, false)));
    }

    @Test
    void newsAreTheLatestStatementsForALimitedTime() {
        departed.record(worker("i-store", 5, true), EPOCH, NOW_MILLIS);
        for (int i = 0; i < 20; i++) {
            departed.recordStated(worker("i-" + i, 5, false), NOW_MILLIS + i);
        }
        List<Departure> news = departed.news(NOW_MILLIS + 20);
        assertEquals(8, news.size());
        assertEquals("i-19", news.get(0).server().value());
        assertEquals(DepartedServers.RETENTION_MILLIS - 1, news.get(0).retainedMillis());
        assertEquals(List.of(), departed.news(NOW_MILLIS + 10_019));
    }

    @Test
    void departureIsForgottenAfterTheRetentionTime() {
        Worker server = worker("i-1", 5, false);
        departed.recordStated(server, NOW_MILLIS);
        departed.expire(NOW_MILLIS + DepartedServers.RETENTION_MILLIS);
        assertFalse(departed.hasStated(server));
    }
}
