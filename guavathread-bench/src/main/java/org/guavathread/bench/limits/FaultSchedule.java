package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.Sheet;

/**
 * One random run of a fleet under overload with kills, restarts with empty memory and perhaps an old sheet, pauses,
 * partitions, lost, late, reordered and doubled messages, and changes of the host list, the rate and the burst that
 * hosts learn at different times.
 */
final class FaultSchedule {

    private static final int HOSTS = 7;
    private static final long RUN_MILLIS = 90_000;
    private static final long MAX_LAG_MILLIS = 6000;
    private static final long[] RATES = {200, 2000, 20_000};
    private static final long[] BURST_MILLIS = {20, 100, 400, 1000, 4000};

    private final SplittableRandom random;
    private final EventQueue events = new EventQueue(1_000_000);
    private final FaultyNetwork network;
    private final LimitsFleet fleet;
    /** Half of the schedules keep rate and burst, so that the bound is not widened by changes of the terms. */
    private final boolean changesTerms;

    private long version = 1;

    FaultSchedule(long seed, LimitPolicy.Factory factory) {
        random = new SplittableRandom(seed);
        changesTerms = random.nextBoolean();
        network = new FaultyNetwork(events, random.split())
                .delays(1, 1 + random.nextLong(40))
                .faults(random.nextDouble(0.05), random.nextDouble(0.1), random.nextDouble(0.1));
        fleet = new LimitsFleet(events, network, factory, Fleets.WORKSPACE, random.split());
    }

    LimitsFleet fleet() {
        return fleet;
    }

    /** Runs the schedule to its end. */
    FaultSchedule run() {
        long rate = RATES[random.nextInt(RATES.length)];
        Sheet first = Fleets.sheet(version, IntStream.range(0, HOSTS).boxed().toList(), rate, burst(rate));
        fleet.start(first);
        long end = events.nowMillis() + RUN_MILLIS;
        long burst = first.workspaces().get(Fleets.WORKSPACE).burst();
        new Workload(events, fleet, random.split(), rate, 1 + random.nextDouble(5))
                .sizes(1, Math.max(2, burst))
                .mixed()
                .run(end, n -> random.nextInt(HOSTS), n -> fleet.isAlive(Fleets.host((int) n)));
        nextFault(end);
        events.runUntil(end + 30_000);
        return this;
    }

    private long burst(long rate) {
        return Math.max(2, rate * BURST_MILLIS[random.nextInt(BURST_MILLIS.length)] / 1000);
    }

    private void nextFault(long endMillis) {
        events.at(events.nowMillis() + random.nextLong(4000), () -> {
            if (events.nowMillis() < endMillis) {
                fault();
                nextFault(endMillis);
            }
        });
    }

    private void fault() {
        HostId host = Fleets.host(random.nextInt(HOSTS));
        long now = events.nowMillis();
        switch (random.nextInt(6)) {
            case 0 -> {
                fleet.kill(host);
                events.at(now + random.nextLong(8000), () -> fleet.restart(host, startSheet()));
            }
            case 1 -> fleet.pause(host, now + random.nextLong(300));
            case 2 -> fleet.pause(host, now + random.nextLong(20_000));
            case 3 -> {
                network.side(host, 1);
                events.at(now + random.nextLong(25_000), () -> network.side(host, 0));
            }
            case 4 ->
                publish(
                        fleet.newestSheet().activeHosts().stream()
                                .map(h -> Integer.parseInt(h.id().value().substring(1)))
                                .toList(),
                        true);
            default -> publish(randomHosts(), random.nextBoolean());
        }
    }

    private Sheet startSheet() {
        List<Sheet> sheets = fleet.published();
        boolean stale = random.nextInt(5) == 0;
        return stale ? sheets.get(random.nextInt(sheets.size())) : fleet.newestSheet();
    }

    private List<Integer> randomHosts() {
        List<Integer> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            if (random.nextInt(4) > 0) {
                hosts.add(i);
            }
        }
        return hosts.isEmpty() ? List.of(random.nextInt(HOSTS)) : hosts;
    }

    private void publish(List<Integer> hosts, boolean changeTerms) {
        var present = fleet.newestSheet().workspaces().get(Fleets.WORKSPACE);
        boolean newTerms = changeTerms && changesTerms;
        long rate = newTerms ? RATES[random.nextInt(RATES.length)] : present.ratePerSecond();
        long burst = newTerms ? burst(rate) : present.burst();
        version += random.nextInt(4) == 0 ? 2 : 1;
        fleet.publish(Fleets.sheet(version, hosts, rate, burst), MAX_LAG_MILLIS);
    }
}
