package org.guavathread.core.publish;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.registry.WorkerRegistry;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against reverting to an older state, and against invalid items of other writers. */
class PublishedStateTest {

    private static final ServiceName SERVICE = new ServiceName("patio");
    private static final long SILENCE_MILLIS = 3_600;
    private static final long ENTRIES_EXPIRED_MILLIS = SILENCE_MILLIS + WorkerRegistry.GRACE_PERIOD_MILLIS;

    private final PublishedState state = new PublishedState(new TextDecoder(), SILENCE_MILLIS);

    /** Decodes items that are plain text: a version, or the state of a server. */
    private static final class TextDecoder implements ItemDecoder {

        @Override
        public boolean isConfiguration(String key) {
            return "config".equals(key);
        }

        @Override
        public Optional<BackendServerId> serverOf(String key) {
            return key.startsWith("s/") ? Optional.of(new BackendServerId(key.substring(2))) : Optional.empty();
        }

        @Override
        public RoutingTable configuration(byte[] value) {
            return RoutingTable.builder(Long.parseLong(text(value))).build();
        }

        @Override
        public Optional<DataCentreId> evacuatedBy(String key) {
            return key.startsWith("e/") ? Optional.of(new DataCentreId(key.substring(2))) : Optional.empty();
        }

        /** Decodes the state of a server, the start time of its process and its software version. */
        @Override
        public Worker server(BackendServerId id, byte[] value, long nowMillis) {
            String[] words = text(value).split(" ");
            if (!List.of("ready", "draining").contains(words[0])) {
                throw new IllegalArgumentException("no state");
            }
            return new Worker(
                    id,
                    SERVICE,
                    new SocketAddressText("127.0.0.1", 80),
                    new DataCentreId("talca"),
                    6,
                    "draining".equals(words[0]),
                    EngineStage.NONE,
                    new SoftwareVersion(words.length > 2 ? words[2] : "v1"),
                    words.length > 1 ? Long.parseLong(words[1]) : 0);
        }

        private static String text(byte[] value) {
            return new String(value, StandardCharsets.UTF_8);
        }
    }

    private static StoreItem item(String key, long revision, String text) {
        return StoreItem.stored(key, revision, text.getBytes(StandardCharsets.UTF_8));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private List<String> usable() {
        return state.registry().usable(SERVICE).stream()
                .map(w -> w.id().value())
                .sorted()
                .toList();
    }

    @Test
    void listingRemovesItemsThatItDoesNotContain() {
        state.applyListing(List.of(item("config", 3, "7"), item("s/a", 4, "ready"), item("s/b", 5, "ready")), at(5), 0);
        state.applyListing(List.of(item("config", 3, "7"), item("s/b", 5, "ready")), at(9), 10_000);
        assertEquals(List.of("b"), usable());
        assertEquals(9, state.position().revision());
    }

    @Test
    void lateEventDoesNotBringBackAServerThatHasLeft() {
        state.applyListing(List.of(item("s/a", 4, "ready")), at(5), 0);
        state.applyListing(List.of(), at(9), 1_000);
        state.applyEvents(List.of(item("s/a", 7, "ready")), at(7), 1_100);
        assertEquals(List.of(), usable(), "the watch was answered before the server left, and its answer came after");
        state.applyEvents(List.of(item("s/a", 10, "ready")), at(10), 1_200);
        assertEquals(List.of("a"), usable(), "the server has started again under its id");
    }

    @Test
    void overwrittenEntryNamesNoServerEvenDuringAnOutage() {
        state.applyListing(List.of(item("s/a", 4, "ready")), at(5), 0);
        state.registry().sourceUnreachable();
        state.applyEvents(List.of(item("s/a", 6, "not readable")), at(6), 1_000);
        assertEquals(List.of(), usable());
    }

    @Test
    void lateListingAndEventsHaveNoEffect() {
        state.applyListing(List.of(item("config", 8, "9"), item("s/a", 7, "ready")), at(10), 0);
        state.applyListing(List.of(item("config", 3, "7")), at(5), 1_000);
        state.applyEvents(List.of(item("s/a", 6, "draining")), at(6), 1_000);
        assertEquals(9, state.table().orElseThrow().version());
        assertEquals(List.of("a"), usable());
        assertEquals(10, state.position().revision());
    }

    @Test
    void listingOfALaterEpochReplacesItemsOfHigherRevisions() {
        state.applyListing(List.of(item("config", 18, "7"), item("s/a", 19, "ready")), at(20), 0);
        state.applyListing(List.of(item("config", 4, "9"), item("s/b", 5, "ready")), new StorePosition(2, 5), 10_000);
        state.registry().expire(20_000);
        assertEquals(9, state.table().orElseThrow().version());
        assertEquals(List.of("b"), usable());
        state.applyListing(List.of(item("config", 30, "12")), at(30), 20_000);
        assertEquals(9, state.table().orElseThrow().version(), "a late listing of the lost history");
        assertEquals(new StorePosition(2, 5), state.position());
    }

    @Test
    void eventsOfAnotherEpochAreNotTakenForTheContinuationOfThisOne() {
        state.applyListing(List.of(item("config", 3, "7")), at(3), 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> state.applyEvents(List.of(item("config", 6, "9")), new StorePosition(2, 6), 0));
    }

    @Test
    void serverThatIsMissingInALaterEpochStaysUsableWhileItMayRegisterAgain() {
        state.applyListing(List.of(item("s/a", 1, "ready"), item("s/b", 2, "ready")), at(2), 0);
        state.applyListing(List.of(item("s/a", 1, "ready")), new StorePosition(2, 1), 10_000);
        assertEquals(List.of("a", "b"), usable());
        state.registry().expire(10_000 + WorkerRegistry.GRACE_PERIOD_MILLIS);
        assertEquals(List.of("a"), usable());
    }

    private static StorePosition restoredAt(long revision) {
        return new StorePosition(2, revision);
    }

    @Test
    void serverThatAnnouncedItsShutdownIsNotUsedOnTheWordOfAnOlderCopy() {
        state.applyListing(List.of(item("s/a", 4, "ready 1"), item("s/b", 5, "ready 1")), at(5), 0);
        state.applyEvents(List.of(item("s/a", 6, "draining 1")), at(6), 10_000);
        state.applyListing(List.of(item("s/a", 4, "ready 1"), item("s/b", 5, "ready 1")), restoredAt(5), 20_000);
        assertEquals(List.of("b"), usable());
        state.expire(20_000 + ENTRIES_EXPIRED_MILLIS);
        assertEquals(List.of(), state.expire(30_000), "it has left for good, which is no news");
        assertEquals(List.of("b"), usable());
        state.applyEvents(List.of(item("s/a", 8, "ready 2")), restoredAt(8), 30_000);
        assertEquals(List.of("a", "b"), usable(), "another process of the server");
    }

    @Test
    void serverWhoseEntryWasRemovedIsWithheldUntilTheCopysEntryWouldHaveExpired() {
        state.applyListing(List.of(item("s/a", 4, "ready 1")), at(5), 0);
        state.applyEvents(List.of(StoreItem.deleted("s/a", 6)), at(6), 10_000);
        state.applyListing(List.of(item("s/a", 4, "ready 1")), restoredAt(5), 20_000);
        state.expire(20_000 + ENTRIES_EXPIRED_MILLIS - 1);
        assertEquals(List.of(), usable());
        state.expire(20_000 + ENTRIES_EXPIRED_MILLIS);
        assertEquals(List.of("a"), usable(), "it was only silent, and its entry is kept alive");
    }

    @Test
    void serverWhoseEntryWasRemovedReturnsWithinAnEpochAtOnce() {
        state.applyListing(List.of(item("s/a", 4, "ready 1")), at(5), 0);
        state.applyEvents(List.of(StoreItem.deleted("s/a", 6)), at(6), 10_000);
        state.applyEvents(List.of(item("s/a", 7, "ready 1")), at(7), 10_100);
        assertEquals(List.of("a"), usable());
        state.applyListing(List.of(item("s/a", 4, "ready 1")), restoredAt(5), 20_000);
        assertEquals(List.of("a"), usable(), "its return has ended the departure");
    }

    @Test
    void laterProcessOfAServerIsNotReplacedByAnEarlierOne() {
        state.applyListing(List.of(item("s/a", 4, "ready 1")), at(5), 0);
        state.applyEvents(List.of(item("s/a", 6, "ready 2")), at(6), 10_000);
        state.applyListing(List.of(item("s/a", 4, "ready 1")), restoredAt(5), 20_000);
        assertEquals(2, state.registry().usable(SERVICE).get(0).startedAtMillis());
        state.applyEvents(List.of(item("s/a", 6, "ready 2")), restoredAt(6), 21_000);
        state.expire(40_000);
        assertEquals(2, state.registry().usable(SERVICE).get(0).startedAtMillis());
    }

    @Test
    void hostThatStartsLearnsFromAnotherWhichServersHaveLeft() {
        PublishedState started = new PublishedState(new TextDecoder(), SILENCE_MILLIS);
        state.applyListing(List.of(item("s/a", 4, "ready 1"), item("s/b", 5, "ready 1")), at(5), 0);
        state.applyEvents(List.of(item("s/a", 6, "draining 1"), StoreItem.deleted("s/b", 7)), at(7), 10_000);
        started.applyListing(List.of(item("s/a", 4, "ready 1"), item("s/b", 5, "ready 1")), restoredAt(5), 20_000);
        started.applyDepartures(state.departures(20_100), 20_100);
        assertEquals(List.of(), started.registry().usable(SERVICE));
    }

    @Test
    void configurationNeverRevertsToAnOlderVersion() {
        state.applyListing(List.of(item("config", 3, "7")), at(3), 0);
        state.applyEvents(List.of(item("config", 4, "6")), at(4), 0);
        assertEquals(7, state.table().orElseThrow().version());
        state.applyEvents(List.of(item("config", 5, "12")), at(5), 0);
        assertEquals(12, state.table().orElseThrow().version());
    }

    @Test
    void itemThatCannotBeDecodedRemovesOnlyItsOwnServer() {
        state.applyListing(List.of(item("s/a", 1, "ready"), item("s/b", 2, "\u0000?")), at(2), 0);
        state.applyEvents(List.of(item("s/a", 3, "lost")), at(3), 10_000);
        assertEquals(List.of(), usable());
        assertEquals(2, state.unreadable());
        state.applyEvents(List.of(item("s/a", 4, "ready")), at(4), 10_000);
        assertEquals(List.of("a"), usable());
    }

    @Test
    void drainingIsAppliedAtOnce() {
        state.applyListing(List.of(item("s/a", 1, "ready")), at(1), 0);
        List<StateChange> changes = state.applyEvents(List.of(item("s/a", 2, "draining")), at(2), 0);
        assertEquals(List.of(), usable());
        assertTrue(changes.get(0).outcome().startsWith("draining"));
    }

    @Test
    void heartbeatsWithTheSameValueAreNoChange() {
        state.applyListing(List.of(item("s/a", 1, "ready")), at(1), 0);
        assertEquals(List.of(), state.applyEvents(List.of(item("s/a", 2, "ready")), at(2), 0));
    }

    @Test
    void followerListsAgainWhenTheHistoryIsDiscarded() {
        StoreFollower follower = new StoreFollower(2_000);
        assertEquals(StoreFollower.Call.LISTING, follower.next(0).orElseThrow());
        assertTrue(follower.next(0).isEmpty(), "one call at a time");
        follower.answered(false, 5);
        assertEquals(StoreFollower.Call.WATCH, follower.next(10).orElseThrow());
        follower.answered(false, 15);
        follower.historyGone(18);
        assertEquals(StoreFollower.Call.LISTING, follower.next(20).orElseThrow());
    }

    @Test
    void followerBacksOffExponentially() {
        StoreFollower follower = new StoreFollower(2_000);
        long now = 0;
        long lastPause = 0;
        assertTrue(follower.next(now).isPresent());
        for (int i = 0; i < 4; i++) {
            assertEquals(i == 0, follower.failed(now, 0.5), "only the first failure starts an outage");
            assertTrue(follower.isOutage());
            long startMillis = now;
            while (follower.next(now).isEmpty()) {
                now++;
            }
            assertTrue(now - startMillis > lastPause);
            lastPause = now - startMillis;
        }
        assertTrue(follower.answered(false, now), "the answer ends the outage");
        assertFalse(follower.isOutage());
    }

    private Optional<Set<SoftwareVersion>> versionsSince(long sinceMillis) {
        return state.registry().versionsSince(SERVICE, sinceMillis);
    }

    private static Optional<Set<SoftwareVersion>> versions(String... versions) {
        return Optional.of(Arrays.stream(versions).map(SoftwareVersion::new).collect(Collectors.toSet()));
    }

    @Test
    void versionOfAServerThatLeftOrChangedBelongsToItsTime() {
        state.applyListing(List.of(item("s/a", 4, "ready 0 v1"), item("s/b", 5, "ready 0 v1")), at(5), 0);
        state.applyEvents(List.of(item("s/a", 6, "ready 9 v2")), at(6), 10_000);
        state.applyEvents(List.of(StoreItem.deleted("s/b", 7)), at(7), 20_000);
        assertEquals(versions("v1", "v2"), versionsSince(20_000));
        assertEquals(versions("v2"), versionsSince(20_001));
    }

    @Test
    void versionsAreUnknownBeforeAListingAndWhileTheStoreIsAway() {
        state.applyListing(List.of(item("s/a", 4, "ready 0 v1")), at(5), 10_000);
        assertEquals(Optional.empty(), versionsSince(9_999));
        assertEquals(versions("v1"), versionsSince(10_000));
        state.registry().sourceUnreachable();
        assertEquals(Optional.empty(), versionsSince(10_000));
        state.registry().sourceRecovered(12_000);
        assertEquals(versions("v1"), versionsSince(10_000));
        state.applyListing(List.of(item("s/a", 4, "ready 0 v1")), at(9), 13_000);
        assertEquals(Optional.empty(), versionsSince(12_000), "servers may have come and gone between two listings");
    }

    @Test
    void historyOfTheStoreNamesVersionsOfTheTimeBeforeTheListing() {
        state.applyListing(List.of(item("s/b", 5, "ready 0 v2")), at(9), 30_000);
        List<StoreItem> history =
                List.of(item("s/a", 6, "ready 0 v1"), item("s/odd", 7, "no server"), StoreItem.deleted("s/a", 8));
        assertTrue(state.applyHistory(history, 5, 20_000, 30_000));
        assertEquals(versions("v1", "v2"), versionsSince(10_000));
        assertEquals(Optional.empty(), versionsSince(9_999));
    }

    @Test
    void historyWithTheRemovalOfAnUnknownServerDoesNotNameAllVersions() {
        state.applyListing(List.of(item("s/b", 5, "ready 0 v2")), at(9), 30_000);
        assertFalse(state.applyHistory(List.of(StoreItem.deleted("s/a", 8)), 5, 20_000, 30_000));
        assertEquals(Optional.empty(), versionsSince(29_999));
    }

    @Test
    void historyThatLacksALateRegistrationIsNotTrusted() {
        state.applyListing(List.of(item("s/b", 9, "ready 25000 v2")), at(9), 30_000);
        assertFalse(state.applyHistory(List.of(), 9, 20_000, 30_000));
        assertEquals(Optional.empty(), versionsSince(29_999));
        assertTrue(state.applyHistory(List.of(item("s/b", 9, "ready 25000 v2")), 8, 20_000, 30_000));
        assertEquals(versions("v2"), versionsSince(10_000));
    }
}
