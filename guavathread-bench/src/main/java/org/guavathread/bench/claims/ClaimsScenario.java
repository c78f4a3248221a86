package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;

import org.guavathread.bench.Scenario;

/** Compares claim protocols under random fault schedules, without faults, and with one dead host of seven. */
public final class ClaimsScenario implements Scenario {

    private static final int FAULT_SCHEDULES = 10_000;
    /** Fewer for the alternatives: each one that violates a guarantee does so within this number of schedules. */
    private static final int FAULT_SCHEDULES_OF_ALTERNATIVES = 2_000;

    private static final int FAULT_FREE_SCHEDULES = 100;

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String summary() {
        return "double runs, false not_run and first-try answers of non-repeatable requests";
    }

    @Override
    public List<Map<String, Object>> run(long seed) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (ClaimDesign design : ClaimDesign.values()) {
            rows.add(row(design, seed));
        }
        return rows;
    }

    private static Map<String, Object> row(ClaimDesign design, long seed) {
        int schedules = design == ClaimDesign.CHOSEN ? FAULT_SCHEDULES : FAULT_SCHEDULES_OF_ALTERNATIVES;
        Tally faults = Tally.of(firstSeed(seed), schedules, s -> ScheduleSimulator.withRandomFaults(design, s));
        Tally faultFree =
                Tally.of(firstSeed(seed), FAULT_FREE_SCHEDULES, s -> ScheduleSimulator.withoutFaults(design, s, false));
        Tally oneDead =
                Tally.of(firstSeed(seed), FAULT_FREE_SCHEDULES, s -> ScheduleSimulator.withoutFaults(design, s, true));
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("design", design.name().toLowerCase(Locale.ROOT));
        row.put("schedules", schedules);
        row.put("calls", faults.calls);
        row.put("runs", faults.runs);
        row.put("doubleRuns", faults.doubleRuns);
        row.put("toldNotRun", faults.notRun);
        row.put("falseNotRun", faults.falseNotRun);
        row.put("answerFaults", faults.answerFaults);
        row.put("firstFaultySeed", faults.firstFaultySeed);
        row.put("firstTryNoFault", faultFree.firstTryShare());
        row.put("firstTryOneDead", oneDead.firstTryShare());
        row.put("addedRoundTrips", faultFree.roundTrips());
        return row;
    }

    /** Gives each seed a range of schedule seeds of its own. */
    private static long firstSeed(long seed) {
        return seed * 1_000_000;
    }

    private interface ScheduleFactory {
        ScheduleSimulator create(long seed);
    }

    private static final class Tally {
        private long calls;
        private long runs;
        private long notRun;
        private long doubleRuns;
        private long falseNotRun;
        private long answerFaults;
        private long firstTries;
        private long firstTriesAnswered;
        private long dispatches;
        private long dispatchMillis;
        private long firstFaultySeed = -1;

        static Tally of(long firstSeed, int schedules, ScheduleFactory factory) {
            Tally tally = new Tally();
            LongStream.range(firstSeed, firstSeed + schedules)
                    .forEach(s -> tally.add(s, factory.create(s).run()));
            return tally;
        }

        private void add(long seed, ScheduleResult result) {
            calls += result.calls();
            runs += result.runs();
            notRun += result.notRun();
            doubleRuns += result.doubleRuns().size();
            falseNotRun += result.falseNotRun().size();
            answerFaults += result.answerFaults().size();
            firstTries += result.firstTries();
            firstTriesAnswered += result.firstTriesAnswered();
            dispatches += result.dispatchMillis().size();
            dispatchMillis += result.dispatchMillis().stream().mapToLong(m -> m).sum();
            if (firstFaultySeed < 0 && !result.isCorrect()) {
                firstFaultySeed = seed;
            }
        }

        private double firstTryShare() {
            return (double) firstTriesAnswered / firstTries;
        }

        private double roundTrips() {
            return (double) dispatchMillis / dispatches / (2.0 * SimNetwork.BASE_DELAY_MILLIS);
        }
    }
}
