package org.guavathread.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.dispatch.CostOrder.Standing;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.share.FairShareTracker;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Properties of the order of waiting requests, over any priorities and ages. */
class CostOrderProperties {

    private static final long NOW_MILLIS = 10_000;

    private final CostOrder order = new CostOrder(new FairShareTracker());

    @Provide
    Arbitrary<List<Standing>> waiting() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.longs().between(0, NOW_MILLIS),
                        Arbitraries.integers().between(100, 2_000))
                .as((level, arrived, target) -> Standing.arrivedAt(arrived)
                        .priority(Optional.of(new Priority(level)))
                        .until(arrived + target / 2, arrived + 3L * target)
                        .build())
                .list()
                .ofMinSize(2)
                .ofMaxSize(30);
    }

    /** A caller that is about to give up goes before a less urgent request, whatever that one has to lose. */
    @Property
    void noRequestExpiresBehindALessUrgentOne(@ForAll("waiting") List<Standing> waiting) {
        Comparator<Standing> dearest = order.dearestFirst(NOW_MILLIS);
        for (Standing a : waiting) {
            for (Standing b : waiting) {
                boolean isAboutToExpire = a.expiresAtMillis() - NOW_MILLIS < 100 && a.onTimeUntilMillis() < NOW_MILLIS;
                boolean hasTime = a.expiresAtMillis() - a.onTimeUntilMillis() > 400;
                if (isAboutToExpire && hasTime && a.level().isMoreUrgentThan(b.level())) {
                    assertTrue(dearest.compare(a, b) < 0, a + " waits behind " + b);
                }
            }
        }
    }

    @Property
    void orderIsTotal(@ForAll("waiting") List<Standing> waiting) {
        Comparator<Standing> dearest = order.dearestFirst(NOW_MILLIS);
        List<Standing> sorted = waiting.stream().sorted(dearest).toList();
        for (int i = 0; i < sorted.size(); i++) {
            for (int j = i; j < sorted.size(); j++) {
                assertTrue(dearest.compare(sorted.get(i), sorted.get(j)) <= 0);
                assertEquals(
                        Integer.signum(dearest.compare(sorted.get(i), sorted.get(j))),
                        -Integer.signum(dearest.compare(sorted.get(j), sorted.get(i))));
            }
        }
    }
}
