package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that returns do not restore budget that would have overflowed the bucket of a home host. */
class HomeBudgetProperties {

    private static final EpochView SETTLED =
            new EpochView(new EpochMembers(new HostEpoch(1), List.of()), Long.MAX_VALUE, 0, 0, List.of());

    private record Grant(long number, long atMillis, long tokens) {}

    /** The granted tokens minus the returned ones must not exceed rate x t + capacity in any window of length t. */
    @Property(seed = "21", tries = 500)
    void grantsLessReturnsStayWithinTheBucket(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitTerms terms = new LimitTerms(1 + random.nextLong(3000), 500 + random.nextLong(5000));
        HomeBudget budget = new HomeBudget(terms, 0);
        budget.apply(terms, LimitTerms.WHOLE_SHARE, true, false, 0, 0);
        List<Grant> kept = new ArrayList<>();
        List<Grant> open = new ArrayList<>();
        long now = 10_000;
        for (int i = 0; i < 300; i++) {
            now += random.nextLong(random.nextInt(10) == 0 ? 4000 : 200);
            budget.refill(SETTLED, now);
            if (random.nextBoolean()) {
                long granted = budget.take(random.nextLong(terms.burst()), i);
                open.add(new Grant(i, now, granted));
            } else if (!open.isEmpty()) {
                Grant grant = open.remove(random.nextInt(open.size()));
                long unused = random.nextLong(grant.tokens + 1);
                budget.giveBack(grant.number, unused);
                // A duplicate return of the same grant must have no effect.
                budget.giveBack(grant.number, unused);
                kept.add(new Grant(grant.number, grant.atMillis, grant.tokens - unused));
            }
        }
        kept.addAll(open);
        assertWithin(kept, terms, seed);
    }

    private static void assertWithin(List<Grant> kept, LimitTerms terms, long seed) {
        kept.sort((a, b) -> Long.compare(a.number, b.number));
        double level = 0;
        long last = 0;
        for (Grant grant : kept) {
            level = Math.max(0, level - terms.ratePerSecond() * (grant.atMillis - last) / 1000.0) + grant.tokens;
            last = grant.atMillis;
            assertTrue(level <= terms.totalCapacityTokens() + 1, "level " + level + " with seed " + seed);
        }
    }
}
