package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.guavathread.bench.Scenario;
import org.guavathread.core.id.WorkspaceId;

/**
 * Compares placement policies at today's sizes under steady load, a burst, a decode engine that dies and an engine that
 * stalls.
 */
public final class PlacementScenario implements Scenario {

    private static final long FAULT_AT_MICROS = 20_000_000;
    private static final long STALL_MICROS = 3_000_000;

    /** Deferrable requests wait for 120 s at most, so all requests are answered by then. */
    private static final long DRAIN_MICROS = 130_000_000;

    private enum LoadCase {
        STEADY_07("steady", 0.7),
        STEADY_10("steady", 1.0),
        STEADY_15("steady", 1.5),
        BURST("one-workspace-5x", 0.7),
        DECODE_DIES("decode-dies", 0.7),
        WORKER_STALLS("worker-stalls", 0.7);

        private final String title;
        private final double load;

        LoadCase(String title, double load) {
            this.title = title;
            this.load = load;
        }
    }

    private enum Policy {
        OMNISCIENT("omniscient", OmniscientRouter::new),
        DESIGN("design", DesignRouter::new),
        ROUND_ROBIN("round-robin", f -> new NaiveRouter(f, false)),
        LEAST_LOADED("least-loaded", f -> new NaiveRouter(f, true));

        private final String title;
        private final Function<Fleet, Router> router;

        Policy(String title, Function<Fleet, Router> router) {
            this.title = title;
            this.router = router;
        }
    }

    private record Result(List<SimRequest> requests, double wasted) {

        private long met() {
            return requests.stream().filter(SimRequest::met).count();
        }
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public String summary() {
        return "goodput, wasted prefill and fairness of the placement on fake engines";
    }

    @Override
    public List<Map<String, Object>> run(long seed) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Deployment deployment : Deployment.TODAY) {
            for (LoadCase loadCase : LoadCase.values()) {
                Result omniscient = null;
                for (Policy policy : Policy.values()) {
                    Result result = simulate(deployment, loadCase, policy, seed);
                    omniscient = omniscient == null ? result : omniscient;
                    rows.add(row(deployment, loadCase, policy, result, omniscient));
                }
            }
        }
        return rows;
    }

    private static Result simulate(Deployment deployment, LoadCase loadCase, Policy policy, long seed) {
        Fleet fleet = new Fleet(deployment);
        Router router = policy.router.apply(fleet);
        List<SimRequest> requests = new Workload(deployment, seed).requests(loadCase.load, loadCase == LoadCase.BURST);
        router.start(Workload.DURATION_MICROS + DRAIN_MICROS);
        for (SimRequest request : requests) {
            fleet.loop.at(request.sentMicros + deployment.clientMicros(), () -> router.arrived(request));
        }
        fleet.loop.at(FAULT_AT_MICROS, () -> injectFault(fleet, loadCase));
        fleet.loop.run();
        return new Result(requests, fleet.prefillCounter.wastedShare());
    }

    private static void injectFault(Fleet fleet, LoadCase loadCase) {
        long until = fleet.loop.nowMicros() + STALL_MICROS;
        if (loadCase == LoadCase.DECODE_DIES) {
            fleet.decodes.get(0).crash();
        } else if (loadCase == LoadCase.WORKER_STALLS && fleet.prefills.size() > 1) {
            fleet.prefills.get(0).stall(until);
        } else if (loadCase == LoadCase.WORKER_STALLS) {
            fleet.decodes.get(0).stall(until);
        }
    }

    private static Map<String, Object> row(
            Deployment deployment, LoadCase loadCase, Policy policy, Result result, Result omniscient) {
        List<SimRequest> all = result.requests();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("deployment", deployment.name());
        row.put("scenario", loadCase.title);
        row.put("load", loadCase.load);
        row.put("policy", policy.title);
        row.put("goodput_ratio", rounded(result.met() / (double) all.size()));
        row.put("goodput_of_omniscient", rounded(result.met() / (double) omniscient.met()));
        row.put("wasted_prefill", rounded(result.wasted()));
        row.put("worst_workspace_share", rounded(worstShare(result, omniscient)));
        row.put("workspace_shares", workspaceShares(result, omniscient));
        row.put("wrongful_refusals", rounded(wrongfulRefusals(all)));
        row.put(
                "failed",
                rounded(all.stream().filter(r -> !r.finished && !r.refused).count() / (double) all.size()));
        row.put("first_token_p95_ms", firstTokenPercentile(all));
        row.put("gaps_met", rounded(shareOfFinished(all)));
        return row;
    }

    private static double shareOfFinished(List<SimRequest> all) {
        long finished = all.stream().filter(r -> r.finished).count();
        return all.stream().filter(r -> r.finished && r.metGaps()).count() / (double) Math.max(1, finished);
    }

    private static long firstTokenPercentile(List<SimRequest> all) {
        Histogram histogram = new Histogram(3);
        all.stream()
                .filter(r -> r.firstTokenMicros >= 0)
                .forEach(r -> histogram.recordValue((r.firstTokenMicros - r.sentMicros) / 1_000));
        return histogram.getValueAtPercentile(95);
    }

    private static double wrongfulRefusals(List<SimRequest> all) {
        long within = all.stream().filter(r -> r.withinRate).count();
        long refused = all.stream().filter(r -> r.withinRate && r.refused).count();
        return refused / (double) Math.max(1, within);
    }

    private static double worstShare(Result result, Result omniscient) {
        return shares(result, omniscient).values().stream()
                .mapToDouble(Double::doubleValue)
                .reduce(1, Math::min);
    }

    private static String workspaceShares(Result result, Result omniscient) {
        return shares(result, omniscient).values().stream()
                .map(s -> String.format(Locale.ROOT, "%.2f", s))
                .collect(Collectors.joining(","));
    }

    /** Divides each workspace's tokens in goodput by its fair share of those that the omniscient queue served. */
    private static Map<WorkspaceId, Double> shares(Result result, Result omniscient) {
        Map<WorkspaceId, Double> goodput = metTokens(result);
        Map<WorkspaceId, Double> offered = new HashMap<>();
        omniscient.requests().forEach(r -> offered.merge(r.workspace, (double) r.tokens(), Double::sum));
        double total = metTokens(omniscient).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        Map<WorkspaceId, Double> shares = new TreeMap<>();
        maxMin(offered, total)
                .forEach((workspace, fair) -> shares.put(workspace, goodput.getOrDefault(workspace, 0.0) / fair));
        return shares;
    }

    private static Map<WorkspaceId, Double> metTokens(Result result) {
        Map<WorkspaceId, Double> tokens = new HashMap<>();
        result.requests().stream()
                .filter(SimRequest::met)
                .forEach(r -> tokens.merge(r.workspace, (double) r.tokens(), Double::sum));
        return tokens;
    }

    /**
     * Divides a total by max-min fairness: no workspace gets more than it offered, and the others share the rest in
     * proportion to their rates.
     */
    private static Map<WorkspaceId, Double> maxMin(Map<WorkspaceId, Double> offered, double total) {
        Map<WorkspaceId, Double> fair = new HashMap<>();
        Map<WorkspaceId, Integer> unsatisfied = new HashMap<>(Workload.rates());
        double remaining = total;
        boolean satisfied = true;
        while (satisfied && !unsatisfied.isEmpty()) {
            double weight =
                    unsatisfied.values().stream().mapToInt(Integer::intValue).sum();
            double tokensPerWeight = remaining / weight;
            satisfied = false;
            for (Map.Entry<WorkspaceId, Integer> each : Map.copyOf(unsatisfied).entrySet()) {
                double demand = offered.get(each.getKey());
                if (demand <= tokensPerWeight * each.getValue()) {
                    fair.put(each.getKey(), demand);
                    remaining -= demand;
                    unsatisfied.remove(each.getKey());
                    satisfied = true;
                }
            }
        }
        double weight =
                unsatisfied.values().stream().mapToInt(Integer::intValue).sum();
        double rest = remaining;
        unsatisfied.forEach((workspace, rate) -> fair.put(workspace, rest * rate / weight));
        return fair;
    }

    private static double rounded(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
