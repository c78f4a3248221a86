package org.guavathread.bench.claims;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against double runs, false not_run and missing answers under random schedules of faults. */
class ClaimScheduleProperties {

    @Property(seed = "1", tries = 600)
    void chosenDesignKeepsItsPromises(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        assertKeepsPromises(seed);
    }

    @Tag("seed-sweep")
    @Property(tries = 20_000)
    void chosenDesignKeepsItsPromisesOnFreshSeeds(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        assertKeepsPromises(seed);
    }

    private static void assertKeepsPromises(long seed) {
        ScheduleResult result =
                ScheduleSimulator.withRandomFaults(ClaimDesign.CHOSEN, seed).run();
        assertTrue(result.isCorrect(), () -> "schedule " + seed + ": " + result);
    }

    /** A request that is refused although every voter is up would break the target of 100 percent. */
    @Property(seed = "2", tries = 20)
    void everyFirstTryIsAnsweredWithoutFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        ScheduleResult result =
                ScheduleSimulator.withoutFaults(ClaimDesign.CHOSEN, seed, false).run();
        assertEquals(result.firstTries(), result.firstTriesAnswered());
    }
}
