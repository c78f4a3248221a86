package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

import org.guavathread.bench.Scenario;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.limit.HomeHosts;
import org.guavathread.core.limit.LimitTerms;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.sheet.Sheet;

/**
 * Compares ways to enforce workspace limits: how far a workspace exceeds its rate and burst, how many requests within
 * its limit are refused, and how much of its rate it can use.
 */
public final class LimitsScenario implements Scenario {

    private static final int HOSTS = 7;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final long SECOND = 1000;

    /** How the requests of a row are sized and shaped. */
    private enum Shape {
        /** Sizes up to half the burst; at most half the burst at once. */
        HALF_BURST(2000, 8000, 20, 4000, 0.5, 7200),
        /** The same with one hundred times the rate, so that many requests collect budget concurrently. */
        LARGE(200_000, 800_000, 20, 4000, 0.5, 300),
        /** The same with today's request sizes and a burst of half a second's rate. */
        SMALL_BURST(8000, 4000, 20, 1500, 0.5, 3600),
        /** Sizes close to the burst; at most nine tenths of the burst at once. */
        NEAR_BURST(2000, 8000, 3000, 7200, 0.9, 7200),
        /** All of the burst at once, which leaves no slack for the capacity that is held back. */
        WHOLE_BURST(2000, 8000, 20, 4000, 1.0, 7200);

        private final long rate;
        private final long burst;
        private final long minTokens;
        private final long maxTokens;
        private final double burstShare;
        private final long runMillis;

        Shape(long rate, long burst, long minTokens, long maxTokens, double burstShare, long runSeconds) {
            this.rate = rate;
            this.burst = burst;
            this.minTokens = minTokens;
            this.maxTokens = maxTokens;
            this.burstShare = burstShare;
            this.runMillis = runSeconds * SECOND;
        }
    }

    /** Which hosts receive the requests and what fails. */
    private enum LoadCase {
        ONE_HOST,
        ALL_HOSTS,
        MOVING_EACH_SECOND,
        FIVE_TIMES_THE_RATE,
        ONE_HOST_DEAD,
        HOST_LIST_CHANGE
    }

    private enum Policy {
        HOME_HOSTS,
        STATIC_DIVISION,
        LOCAL_BUCKET,
        SINGLE_OWNER;

        private LimitPolicy create(HostId host, long instanceId) {
            return switch (this) {
                case HOME_HOSTS -> new HomeHostPolicy(host, instanceId, LimitTerms.MAX_HOMES);
                case SINGLE_OWNER -> new HomeHostPolicy(host, instanceId, 1);
                case STATIC_DIVISION -> new BucketPolicy(true);
                case LOCAL_BUCKET -> new BucketPolicy(false);
            };
        }
    }

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public String summary() {
        return "excess over rate x t + burst, wrongful refusals and used rate of ways to enforce workspace limits";
    }

    @Override
    public List<Map<String, Object>> run(long seed) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (LoadCase loadCase : LoadCase.values()) {
            for (Policy policy : Policy.values()) {
                rows.add(row(policy, loadCase, Shape.HALF_BURST, seed));
            }
        }
        for (Shape shape : List.of(Shape.LARGE, Shape.SMALL_BURST, Shape.NEAR_BURST, Shape.WHOLE_BURST)) {
            for (LoadCase loadCase : List.of(LoadCase.ONE_HOST, LoadCase.ALL_HOSTS, LoadCase.MOVING_EACH_SECOND)) {
                rows.add(row(Policy.HOME_HOSTS, loadCase, shape, seed));
            }
        }
        rows.add(row(Policy.HOME_HOSTS, LoadCase.FIVE_TIMES_THE_RATE, Shape.LARGE, seed));
        return rows;
    }

    /** Measures the home host policy in one row, for tests. */
    static Map<String, Object> homeHostsRow(String loadCase, String shape, long seed) {
        return row(Policy.HOME_HOSTS, LoadCase.valueOf(loadCase), Shape.valueOf(shape), seed);
    }

    private static Map<String, Object> row(Policy policy, LoadCase loadCase, Shape shape, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EventQueue events = new EventQueue(1_000_000);
        FaultyNetwork network = new FaultyNetwork(events, random.split());
        LimitsFleet fleet = new LimitsFleet(
                events,
                network,
                (host, instanceId, now) -> policy.create(host, instanceId),
                FleetSheets.WORKSPACE,
                random.split());
        List<Integer> allHosts = IntStream.range(0, HOSTS).boxed().toList();
        Sheet first = FleetSheets.sheet(1, allHosts, shape.rate, shape.burst);
        fleet.start(first);
        events.runUntil(events.nowMillis() + WARM_UP_MILLIS);
        long start = events.nowMillis();
        long end = start + shape.runMillis;
        boolean overload = loadCase == LoadCase.FIVE_TIMES_THE_RATE;
        Workload workload = new Workload(events, fleet, random.split(), shape.rate, overload ? 5 : 1)
                .sizes(shape.minTokens, shape.maxTokens);
        if (!overload) {
            workload.shapedTo(shape.burst * shape.burstShare);
        }
        int home = hostNumber(HomeHosts.of(
                        first.workspaces().get(FleetSheets.WORKSPACE),
                        first,
                        new EpochMembers(new HostEpoch(1), first.activeHosts()))
                .get(0));
        if (loadCase == LoadCase.ONE_HOST_DEAD) {
            fleet.kill(FleetSheets.host(home));
        } else if (loadCase == LoadCase.HOST_LIST_CHANGE) {
            changeHostList(events, fleet, shape, home, end);
        }
        workload.run(end, hostChooser(loadCase, events, random.split()), n -> acceptsRequests(fleet, (int) n));
        events.runUntil(end + SECOND);
        return columns(policy, loadCase, shape, fleet, workload, network);
    }

    private static int hostNumber(HostId host) {
        return Integer.parseInt(host.value().substring(1));
    }

    private static boolean acceptsRequests(LimitsFleet fleet, int hostNumber) {
        return fleet.isAlive(FleetSheets.host(hostNumber))
                && fleet.newestSheet().hosts().containsKey(FleetSheets.host(hostNumber));
    }

    private static IntUnaryOperator hostChooser(LoadCase loadCase, EventQueue events, SplittableRandom random) {
        return switch (loadCase) {
            case ONE_HOST -> n -> HOSTS - 1;
            case MOVING_EACH_SECOND -> n -> (int) (events.nowMillis() / SECOND % HOSTS);
            default -> n -> random.nextInt(HOSTS);
        };
    }

    /** Removes a home host from the list and adds it back, once every two minutes. */
    private static void changeHostList(EventQueue events, LimitsFleet fleet, Shape shape, int home, long endMillis) {
        long period = 60 * SECOND;
        long version = 2;
        for (long at = events.nowMillis() + period; at < endMillis; at += period) {
            boolean leaves = version % 2 == 0;
            List<Integer> hosts = IntStream.range(0, HOSTS)
                    .filter(n -> !leaves || n != home)
                    .boxed()
                    .toList();
            Sheet sheet = FleetSheets.sheet(version++, hosts, shape.rate, shape.burst);
            events.at(at, () -> fleet.publish(sheet, 5 * SECOND));
        }
    }

    private static Map<String, Object> columns(
            Policy policy,
            LoadCase loadCase,
            Shape shape,
            LimitsFleet fleet,
            Workload workload,
            FaultyNetwork network) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("policy", policy.name().toLowerCase(Locale.ROOT));
        row.put("scenario", loadCase.name().toLowerCase(Locale.ROOT));
        row.put("shape", shape.name().toLowerCase(Locale.ROOT));
        row.put("requests", workload.sent());
        row.put("largestExcessTokens", Math.round(fleet.meter().largestExcess()));
        double refusedShare = (double) fleet.refused() / Math.max(1, workload.sent());
        row.put(
                "wrongfulRefusalPercent",
                loadCase == LoadCase.FIVE_TIMES_THE_RATE ? "n/a" : rounded(100 * refusedShare));
        double rateTokens = shape.rate * (shape.runMillis / 1000.0);
        row.put("usedRatePercent", rounded(100 * fleet.meter().usedTokens() / rateTokens));
        row.put("offeredRatePercent", rounded(100 * workload.offeredTokens() / rateTokens));
        row.put("messagesPerRequest", rounded((double) network.messages() / Math.max(1, workload.sent())));
        return row;
    }

    private static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}
