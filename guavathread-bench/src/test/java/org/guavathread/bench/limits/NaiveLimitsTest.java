package org.guavathread.bench.limits;

import java.util.function.UnaryOperator;

import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.LimitTerms;
import org.guavathread.core.message.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Shows that the window check of the simulator detects naive designs; guards the check itself. */
class NaiveLimitsTest {

    /** A paused host that resumes admits with old grants if these do not expire. */
    @Test
    void grantsWithoutValidityExceedTheBound() {
        UnaryOperator<PeerMessage> unlimited = m -> m instanceof BudgetGrant g
                ? new BudgetGrant(g.ask(), g.grant(), g.tokens(), g.levelTokens(), 3_600_000)
                : m;
        FaultSchedule schedule =
                new FaultSchedule(40, (host, memory, now) -> new HomeHostPolicy(host, memory, LimitTerms.MAX_HOMES));
        schedule.fleet().onWire(unlimited);
        double excess = schedule.run().fleet().meter().largestExcess();
        assertTrue(excess > 0, "excess " + excess);
    }

    @Test
    void localBucketsExceedTheBound() {
        double excess = new FaultSchedule(1, (host, memory, now) -> new BucketPolicy(false))
                .run()
                .fleet()
                .meter()
                .largestExcess();
        assertTrue(excess > 0, "excess " + excess);
    }
}
