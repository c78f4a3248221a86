package org.guavathread.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.guavathread.bench.Scenario;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Measures the cost of each element of state, message and decision, and extrapolates the control cost of a host to the
 * target size.
 */
public final class CapacityScenario implements Scenario {

    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    /** A host sends heartbeats to at most 32 peers each second and answers about as many. */
    private static final int HEARTBEATS_PER_SECOND = 64;

    /** Assumed share of requests with an idempotency key. */
    private static final double CLAIMED_SHARE = 0.1;

    private static final int VOTERS = 5;
    private static final int CLAIM_RETENTION_SECONDS = 300;

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String summary() {
        return "state, message and processor slopes, and what they add up to at the target size";
    }

    @Override
    public List<Map<String, Object>> run(long seed) {
        List<Map<String, Object>> rows = new ArrayList<>();
        Map<String, Double> state = new TreeMap<>(StateSlopes.all());
        state.forEach((name, bytes) -> rows.add(row("state", name, bytes, "bytes of heap each")));
        Map<String, Integer> messages = MessageSlopes.all();
        messages.forEach((name, bytes) -> rows.add(row("message", name, bytes, "bytes on the wire")));
        Map<String, Double> times = processorTimes();
        times.forEach((name, nanos) -> rows.add(row("processor", name, nanos, "ns each")));
        rows.add(memoryAtTarget(state));
        rows.add(bytesAtTarget(messages));
        rows.add(processorAtTarget(times));
        return rows;
    }

    private static Map<String, Object> memoryAtTarget(Map<String, Double> state) {
        double claims = Target.requestsPerSecondPerHost()
                * CLAIMED_SHARE
                * VOTERS
                * CLAIM_RETENTION_SECONDS
                * state.get("claim");
        double bytes = Target.WORKSPACES * state.get("workspace")
                + Target.HOSTS * state.get("host")
                + claims
                + Target.ENGINES_PER_CELL * state.get("engine")
                + 1_000 * state.get("queued_request");
        return total("memory_of_a_host", bytes, "bytes", Target.MEMORY_LIMIT_BYTES);
    }

    private static Map<String, Object> bytesAtTarget(Map<String, Integer> messages) {
        double requests = Target.requestsPerSecondPerHost();
        double perRequest = messages.get("BudgetTake")
                + messages.get("BudgetGrant")
                + messages.get("BudgetReturn")
                + messages.get("PlaceRequest")
                + messages.get("PlaceReply")
                + messages.get("PlacePrefillDone")
                + messages.get("PlaceRelease")
                + CLAIMED_SHARE
                        * VOTERS
                        * (messages.get("ClaimRequest") + messages.get("ClaimReply") + messages.get("ClaimOutcome"));
        double renewals = (double) Target.RUNNING_REQUESTS / Target.HOSTS * messages.get("PlaceRenew");
        double heartbeats = HEARTBEATS_PER_SECOND * 2.0 * messages.get("Heartbeat");
        double total = requests * perRequest + renewals + heartbeats;
        Map<String, Object> row = total("sent_by_a_host", total, "bytes/s", Target.BYTES_PER_SECOND_LIMIT);
        row.put("heartbeats", Math.round(heartbeats));
        row.put("renewals", Math.round(renewals));
        row.put("requests", Math.round(requests * perRequest));
        return row;
    }

    private static Map<String, Object> processorAtTarget(Map<String, Double> times) {
        double requests = Target.requestsPerSecondPerHost();
        double nanos = requests
                        * (times.get("keyLookup")
                                + 2 * times.get("budgetTake")
                                + times.get("placeRequest")
                                + 7 * times.get("placeMessage")
                                + CLAIMED_SHARE * VOTERS * (times.get("claimVote") + 2 * times.get("placeMessage")))
                + HEARTBEATS_PER_SECOND * 2 * times.get("heartbeat");
        return total("decisions_and_codec_of_a_host", nanos / NANOS_PER_SECOND, "cores", Target.CORE_SHARE_LIMIT);
    }

    private static Map<String, Double> processorTimes() {
        try {
            Map<String, Double> times = new TreeMap<>();
            for (RunResult result : new Runner(new OptionsBuilder()
                            .include(DecisionBenchmarks.class.getName())
                            .forks(0)
                            .verbosity(VerboseMode.SILENT)
                            .build())
                    .run()) {
                times.put(
                        result.getPrimaryResult().getLabel(),
                        result.getPrimaryResult().getScore());
            }
            return times;
        } catch (RunnerException e) {
            throw new IllegalStateException("The micro-benchmarks did not run: " + e.getMessage(), e);
        }
    }

    private static Map<String, Object> row(String kind, String name, double value, String unit) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("slope", kind);
        row.put("what", name);
        row.put("value", Math.round(value * 10) / 10.0);
        row.put("unit", unit);
        return row;
    }

    private static Map<String, Object> total(String name, double value, String unit, double limit) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("at_target", name);
        row.put("value", value < 1 ? Math.round(value * 1e6) / 1e6 : (double) Math.round(value));
        row.put("unit", unit);
        row.put("limit", limit);
        row.put("fits", value <= limit);
        return row;
    }
}
