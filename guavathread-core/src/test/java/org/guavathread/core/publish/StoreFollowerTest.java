package org.guavathread.core.publish;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.publish.StoreFollower.Call;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against one call for each of many changes, and against a host that lags behind the store for long. */
class StoreFollowerTest {

    /** Time within which operators expect a change to be in force on all hosts. */
    private static final long IN_FORCE_MILLIS = 2_000;

    private static StoreFollower listed() {
        StoreFollower follower = new StoreFollower(IN_FORCE_MILLIS);
        assertEquals(Optional.of(Call.LISTING), follower.next(0));
        follower.answered(false, 5);
        return follower;
    }

    /**
     * Guards against a call storm: the start of 98 engines within seconds made each of 63 hosts call once per engine.
     */
    @Test
    void changesInQuickSuccessionCostFewCalls() {
        StoreFollower follower = listed();
        int calls = 0;
        for (long now = 10; now < 10_010; now += 10) {
            // Every call finds a new change at the store.
            if (follower.next(now).isPresent()) {
                calls++;
                follower.answered(true, now + 4);
            }
        }
        assertTrue(calls <= 35, calls + " calls in 10 s");
    }

    @Test
    void theNextCallAfterASingleChangeFollowsWithinAQuarterOfTheTimeLimit() {
        StoreFollower follower = listed();
        assertEquals(Optional.of(Call.WATCH), follower.next(10));
        follower.answered(true, 1_000);
        assertEquals(Optional.empty(), follower.next(1_100));
        assertEquals(Optional.of(Call.WATCH), follower.next(1_000 + IN_FORCE_MILLIS / 4));
    }

    @Test
    void aLongerTimeLimitCostsFewerCallsAndIsKept() {
        StoreFollower follower = new StoreFollower(2 * IN_FORCE_MILLIS);
        assertEquals(Optional.of(Call.LISTING), follower.next(0));
        follower.answered(true, 1_000);
        assertEquals(Optional.empty(), follower.next(1_000 + IN_FORCE_MILLIS / 4));
        assertEquals(Optional.of(Call.WATCH), follower.next(1_000 + IN_FORCE_MILLIS / 2));
    }

    @Test
    void anAnswerWithoutChangesIsFollowedByTheNextCallAtOnce() {
        StoreFollower follower = listed();
        assertEquals(Optional.of(Call.WATCH), follower.next(10));
        follower.answered(false, 4_010);
        assertEquals(Optional.of(Call.WATCH), follower.next(4_010));
    }

    /** Guards against 838 listings in 4 s of a store that had come back from an older copy. */
    @Test
    void listingsThatLeadNowhereAreNotRepeatedAtOnce() {
        StoreFollower follower = new StoreFollower(IN_FORCE_MILLIS);
        int listings = 0;
        for (long now = 0; now < 4_000; now++) {
            Optional<Call> call = follower.next(now);
            if (call.equals(Optional.of(Call.LISTING))) {
                listings++;
                follower.answered(false, now);
            } else if (call.isPresent()) {
                follower.answered(false, now);
                follower.historyGone(now);
            }
        }
        assertTrue(listings <= 8, listings + " listings in 4 s");
    }

    @Test
    void theFirstCallAfterAFailureDoesNotWaitForAChange() {
        StoreFollower follower = listed();
        assertEquals(Optional.of(Call.WATCH), follower.next(10));
        follower.failed(20, 0.5);
        assertEquals(Optional.of(Call.PROBE), follower.next(1_000));
        follower.failed(2_000, 0.5);
        assertEquals(Optional.of(Call.PROBE), follower.next(3_000));
        follower.answered(false, 3_005);
        assertEquals(Optional.of(Call.WATCH), follower.next(3_005));
    }

    @Test
    void aHostThatLagsBehindAsksAnotherWithinTheTimeLimit() {
        StoreFollower follower = listed();
        assertEquals(Optional.of(Call.WATCH), follower.next(10));
        SocketAddressText address = new SocketAddressText("127.0.0.1", 1);
        HostReport ahead = new HostReport(
                new HostId("h2"),
                1,
                1,
                new DataCentreId("talca"),
                address,
                address,
                HostPhase.READY,
                new StorePosition(1, 9),
                7,
                List.of(),
                1,
                0,
                WaitingRank.NONE,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false,
                250,
                List.of());
        assertEquals(
                Optional.empty(),
                follower.nextPeer(Optional.of(ahead), new StorePosition(1, 8), 100),
                "its own watch may return the change");
        assertTrue(follower.nextPeer(Optional.of(ahead), new StorePosition(1, 8), 100 + IN_FORCE_MILLIS / 2)
                .isPresent());
    }
}
