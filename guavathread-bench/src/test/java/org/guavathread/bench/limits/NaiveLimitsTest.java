package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.LimitTerms;
import org.guavathread.core.message.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Shows that the window check of the simulator detects naive designs; guards the check itself. */
class NaiveLimitsTest {

    /** As many schedules as the property of the real design runs, so that it would detect these faults, too. */
    private static final int SCHEDULES = 40;

    /** Without expiry, a host that resumes after a pause admits requests with old grants. */
    @Test
    void grantsWithoutValidityExceedTheBound() {
        UnaryOperator<PeerMessage> unlimited = m -> m instanceof BudgetGrant g
                ? new BudgetGrant(g.take(), g.grant(), g.tokens(), g.levelTokens(), 3_600_000)
                : m;
        List<Integer> exceeding = new ArrayList<>();
        for (int seed = 1; seed <= SCHEDULES; seed++) {
            FaultSchedule schedule = new FaultSchedule(
                    seed, (host, instanceId, now) -> new HomeHostPolicy(host, instanceId, LimitTerms.MAX_HOMES));
            schedule.fleet().interceptMessages(unlimited);
            if (schedule.run().fleet().meter().largestExcess() > 0) {
                exceeding.add(seed);
            }
        }
        System.out.println("Schedules in which grants without validity exceed the bound: " + exceeding);
        assertFalse(exceeding.isEmpty(), "no schedule of 1 to " + SCHEDULES + " shows the fault");
    }

    @Test
    void localBucketsExceedTheBound() {
        double excess = new FaultSchedule(1, (host, instanceId, now) -> new BucketPolicy(false))
                .run()
                .fleet()
                .meter()
                .largestExcess();
        assertTrue(excess > 0, "excess " + excess);
    }
}
