package org.guavathread.core.share;

import java.util.List;
import java.util.Set;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.WorkspaceTerms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against fleets that admit more than the operators' bound, or much less than one bucket would, when one workspace
 * sends several times its limit. The bound is a quarter above the limit in any window, plus a fixed slack.
 */
class SharedLimitsLoadTest {

    private static final double RATE = 47_000;
    private static final double BURST = 47_000;
    private static final double SLACK = 190_000;
    private static final long WINDOW_MILLIS = 8_000;
    private static final double BOUND = (RATE * WINDOW_MILLIS / 1_000 + BURST) * 1.25 + SLACK;
    private static final double UNITS = 3_300;
    private static final WorkspaceTerms TERMS = WorkspaceTerms.builder(new WorkspaceId("w"))
            .apiKeys(Set.of("k"))
            .limit(RATE, BURST)
            .countsTokens(200)
            .build();

    /** The load of a workspace at seven times its usual rate, where the limit is 1.8 times the usual. */
    private static final LimitedFleet.Demand HOT = millis -> RATE * 4.2;

    private static final LimitedFleet.Demand HOT_FOR_A_WHILE =
            millis -> millis > 2_000 && millis < 13_000 ? RATE * 7 : RATE * 0.6;

    private static LimitedFleet fleet(int hosts) {
        return new LimitedFleet(hosts, SLACK, 7);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 66, 136, 400})
    void fleetAdmitsWhatOneBucketWouldAndNoMoreThanTheBound(int hosts) {
        LimitedFleet.Outcome outcome = fleet(hosts).play(TERMS, HOT, UNITS, LimitedFleet.Pool.WITH_ROOM, 20_000);
        double max = outcome.maxUnitsInWindow(WINDOW_MILLIS);
        assertTrue(max <= BOUND, max + " units in a window, at most " + BOUND + " are allowed");
        double oneBucket = RATE * 20 + BURST;
        assertTrue(outcome.ran() >= oneBucket * 0.97, outcome.ran() + " units ran, " + oneBucket + " were owed");
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 136})
    void requestsThatWaitAndDoNotRunLeaveRoomForOthers(int hosts) {
        LimitedFleet.Outcome held =
                fleet(hosts).play(TERMS, HOT_FOR_A_WHILE, UNITS, new LimitedFleet.Pool(0.2, 750, false), 34_000);
        LimitedFleet.Outcome charged =
                fleet(hosts).play(TERMS, HOT_FOR_A_WHILE, UNITS, new LimitedFleet.Pool(0.2, 750, true), 34_000);
        assertTrue(held.ran() > charged.ran() * 1.03, held.ran() + " ran; charged at once " + charged.ran());
        assertTrue(held.refusedInTheEnd() < charged.refusedInTheEnd() * 0.75, held.refusedInTheEnd() + " refused");
        double max = held.maxUnitsInWindow(WINDOW_MILLIS);
        assertTrue(max <= BOUND, max + " units in a window, at most " + BOUND + " are allowed");
    }

    @Test
    void retryAfterDoesNotGrowWithCallersThatNeverReturn() {
        SharedTokenLimits limits = new SharedTokenLimits(0, true);
        assertEquals(0, limits.admit(TERMS, BURST, 1_000));
        assertEquals(0, limits.send(TERMS, BURST, 1_000));
        long millis = 0;
        for (int i = 0; i < 1_000; i++) {
            millis = limits.admit(TERMS, UNITS, 1_000);
        }
        assertTrue(millis <= 4_000, "Retry-After of " + millis + " ms");
    }

    @Test
    void whatAnAbsentHostSpentIsSetOffAgainstTheWithheldRefill() {
        SharedTokenLimits limits = new SharedTokenLimits(0, true);
        limits.applyTotals(7, 1, List.of(), 1_000);
        assertEquals(0, limits.admit(TERMS, BURST, 1_000));
        assertEquals(0, limits.send(TERMS, BURST, 1_000));
        limits.setFleet(2, 0.5);
        assertTrue(limits.admit(TERMS, 2 * RATE, 5_000) == 0, "half of the refill of 4 s is at least 1 unit");
        limits.release(TERMS.id(), 2 * RATE);
        limits.setFleet(2, 1);
        limits.applyTotals(7, 2, List.of(new HostReport.WorkspaceTotal(TERMS.id(), RATE)), 5_000);
        assertEquals(0, limits.admit(TERMS, 1, 5_000));
    }

    @Test
    void firstTotalsOfAKnownProcessAreDebited() {
        SharedTokenLimits limits = new SharedTokenLimits(0, true);
        assertEquals(0, limits.admit(TERMS, 1, 1_000));
        limits.applyTotals(7, 1, List.of(), 1_000);
        limits.applyTotals(7, 2, List.of(new HostReport.WorkspaceTotal(TERMS.id(), 2 * BURST)), 1_000);
        assertTrue(limits.admit(TERMS, 1, 1_000) > 0);
    }
}
