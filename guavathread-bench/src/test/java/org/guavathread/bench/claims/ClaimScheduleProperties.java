package org.guavathread.bench.claims;

import java.util.function.ToLongFunction;
import java.util.stream.LongStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against double runs, false not_run and missing answers under random schedules of faults. */
class ClaimScheduleProperties {

    @Property(seed = "1", tries = 600)
    void chosenDesignKeepsItsGuarantees(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        assertKeepsGuarantees(seed);
    }

    @Tag("seed-sweep")
    @Property(tries = 20_000)
    void chosenDesignKeepsItsGuaranteesOnFreshSeeds(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        assertKeepsGuarantees(seed);
    }

    private static void assertKeepsGuarantees(long seed) {
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

    /** Shows that the simulator detects designs that leave out a rule; otherwise its passes would prove nothing. */
    @Example
    void schedulesDetectDesignsWithoutARule() {
        assertTrue(count(ClaimDesign.ONE_HOME_NO_ABSTENTION, r -> r.doubleRuns().size()) > 0, "double runs");
        assertTrue(count(ClaimDesign.NO_BARRIER, r -> r.falseNotRun().size()) > 0, "false not_run");
    }

    private static long count(ClaimDesign design, ToLongFunction<ScheduleResult> faults) {
        return LongStream.range(0, 150)
                .map(seed -> faults.applyAsLong(
                        ScheduleSimulator.withRandomFaults(design, seed).run()))
                .sum();
    }
}
