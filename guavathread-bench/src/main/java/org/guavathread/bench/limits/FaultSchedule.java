package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.limit.HomeHosts;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.sheet.Sheet;

/**
 * One random run of a fleet under overload with kills, restarts with empty memory and perhaps an old sheet, pauses,
 * partitions, lost, late, reordered and duplicated messages, and changes of the host list, the rate and the burst that
 * reach hosts at different times.
 */
final class FaultSchedule {

    private static final int HOSTS = 7;
    private static final long RUN_MILLIS = 90_000;
    private static final long MAX_LAG_MILLIS = 6000;
    private static final long[] RATES = {200, 2000, 20_000};
    private static final long[] BURST_MILLIS = {60, 200, 400, 1000, 4000};

    private final SplittableRandom random;
    private final EventQueue events = new EventQueue(1_000_000);
    private final FaultyNetwork network;
    private final LimitsFleet fleet;
    /** Half of the schedules keep rate and burst, because changes of these terms widen the bound. */
    private final boolean changesTerms;

    /**
     * Half of the schedules have a network without faults and one handover of shares at a time, in which a home host
     * that leaves the list may be cut off, paused or late. A share with two owners shows only if the fleet uses its
     * whole rate, because unused rate hides it.
     */
    private final boolean handoversOnly;

    /** An epoch must outlast its settling time for a handover of shares to take place. */
    private final long epochMillis;

    private final long maxFaultIntervalMillis;
    private long nextEpochAtMillis;
    private long version = 1;

    FaultSchedule(long seed, LimitPolicy.Factory factory) {
        random = new SplittableRandom(seed);
        changesTerms = random.nextBoolean();
        handoversOnly = random.nextBoolean();
        epochMillis = 8000 + random.nextLong(30_000);
        maxFaultIntervalMillis = 2000 + random.nextLong(10_000);
        network = new FaultyNetwork(events, random.split()).delays(1, handoversOnly ? 2 : 1 + random.nextLong(40));
        if (!handoversOnly) {
            network.faults(random.nextDouble(0.05), random.nextDouble(0.1), random.nextDouble(0.1));
        }
        fleet = new LimitsFleet(events, network, factory, FleetSheets.WORKSPACE, random.split());
    }

    LimitsFleet fleet() {
        return fleet;
    }

    /** Runs the schedule to its end. */
    FaultSchedule run() {
        long rate = RATES[random.nextInt(RATES.length)];
        Sheet first =
                FleetSheets.sheet(version, IntStream.range(0, HOSTS).boxed().toList(), rate, burst(rate));
        fleet.start(first);
        long end = events.nowMillis() + RUN_MILLIS;
        long burst = first.workspaces().get(FleetSheets.WORKSPACE).burst();
        new Workload(events, fleet, random.split(), rate, handoversOnly ? 3 : 1 + random.nextDouble(4))
                .sizes(Math.max(1, burst / 16), Math.max(2, handoversOnly ? burst / 4 : burst))
                .mixed()
                .run(end, n -> random.nextInt(HOSTS), n -> fleet.isAlive(FleetSheets.host((int) n)));
        if (handoversOnly) {
            scheduleHandover(end);
        } else {
            scheduleFault(end);
        }
        events.runUntil(end + 30_000);
        return this;
    }

    private long burst(long rate) {
        return Math.max(2, rate * BURST_MILLIS[random.nextInt(BURST_MILLIS.length)] / 1000);
    }

    private void scheduleHandover(long endMillis) {
        events.at(events.nowMillis() + 5000 + random.nextLong(30_000), () -> {
            if (events.nowMillis() < endMillis) {
                handover();
                scheduleHandover(endMillis);
            }
        });
    }

    private void handover() {
        Sheet newest = fleet.newestSheet();
        EpochMembers members = new EpochMembers(HostEpoch.NONE, newest.activeHosts());
        List<HostId> homes = HomeHosts.of(newest.workspaces().get(FleetSheets.WORKSPACE), newest, members);
        HostId leaving = homes.get(random.nextInt(homes.size()));
        long now = events.nowMillis();
        switch (random.nextInt(4)) {
            case 0 -> {
                network.setSide(leaving, 1);
                events.at(now + random.nextLong(60_000), () -> network.setSide(leaving, 0));
            }
            case 1 -> fleet.pause(leaving, now + random.nextLong(30_000));
            default -> {
                // The host learns of its removal within the usual time.
            }
        }
        List<Integer> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            if (!FleetSheets.host(i).equals(leaving)
                    && (newest.hosts().containsKey(FleetSheets.host(i)) || random.nextBoolean())) {
                hosts.add(i);
            }
        }
        publish(hosts, false);
    }

    private void scheduleFault(long endMillis) {
        events.at(events.nowMillis() + random.nextLong(maxFaultIntervalMillis), () -> {
            if (events.nowMillis() < endMillis) {
                injectFault();
                scheduleFault(endMillis);
            }
        });
    }

    private void injectFault() {
        HostId host = FleetSheets.host(random.nextInt(HOSTS));
        long now = events.nowMillis();
        switch (random.nextInt(7)) {
            case 0 -> {
                fleet.kill(host);
                events.at(now + random.nextLong(8000), () -> fleet.restart(host, startSheet()));
            }
            case 1 -> fleet.pause(host, now + random.nextLong(300));
            case 2 -> fleet.pause(host, now + random.nextLong(30_000));
            case 3 -> {
                network.setSide(host, 1);
                events.at(now + random.nextLong(60_000), () -> network.setSide(host, 0));
            }
            case 4 ->
                publish(
                        fleet.newestSheet().activeHosts().stream()
                                .map(h -> Integer.parseInt(h.id().value().substring(1)))
                                .toList(),
                        true);
            default -> {
                if (now >= nextEpochAtMillis) {
                    nextEpochAtMillis = now + epochMillis;
                    publish(randomHosts(), random.nextBoolean());
                }
            }
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
        var current = fleet.newestSheet().workspaces().get(FleetSheets.WORKSPACE);
        boolean newTerms = changeTerms && changesTerms;
        long rate = newTerms ? RATES[random.nextInt(RATES.length)] : current.ratePerSecond();
        long burst = newTerms ? burst(rate) : current.burst();
        version += random.nextInt(4) == 0 ? 2 : 1;
        fleet.publish(FleetSheets.sheet(version, hosts, rate, burst), MAX_LAG_MILLIS);
    }
}
