package org.guavathread.bench.limits;

import org.guavathread.core.limit.LimitTerms;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards invariant 4: no workspace gets more than rate x t + burst over all hosts in any window. */
class WorkspaceWindowProperties {

    private static final LimitPolicy.Factory HOME_HOSTS =
            (host, instanceId, now) -> new HomeHostPolicy(host, instanceId, LimitTerms.MAX_HOMES);

    /** Fails if any fault schedule lets hosts admit more than the bound, or decides a request twice or never. */
    @Property(seed = "11", tries = 40)
    void boundHoldsUnderFaults(@ForAll @LongRange(min = 1, max = 1_000_000_000L) long scheduleSeed) {
        check(scheduleSeed);
    }

    @Tag("seed-sweep")
    @Property(tries = 5000)
    void boundHoldsUnderManyMoreFaults(@ForAll long scheduleSeed) {
        check(scheduleSeed);
    }

    private static void check(long scheduleSeed) {
        LimitsFleet fleet = new FaultSchedule(scheduleSeed, HOME_HOSTS).run().fleet();
        double excess = fleet.meter().largestExcess();
        assertTrue(excess <= 1e-6, "excess of " + excess + " tokens with schedule seed " + scheduleSeed);
        assertEquals(0, fleet.decidedTwice(), "requests decided twice with schedule seed " + scheduleSeed);
        assertEquals(0, fleet.undecidedRequests(), "requests never decided with schedule seed " + scheduleSeed);
    }
}
