package org.guavathread.bench.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.guavathread.core.id.HostId;

/** A fleet under random faults and random changes of the host set. */
final class RandomSchedule {

    private static final int STEP_MILLIS = 100;

    /**
     * Restarts in one region must be this far apart; otherwise a majority of witnesses may lose their memory, which is
     * outside the documented bounds.
     */
    private static final long RESTART_SPACING_MILLIS = 25_000;

    private final Random random;
    private final FleetSimulator fleet;
    private final int hostCount;
    private final int dataCentres;
    private final int regions;
    private final Map<Integer, Long> restartedAt = new HashMap<>();
    private Set<Integer> inactive = new HashSet<>();
    private long version = 1;
    private boolean limitRestarts = true;

    RandomSchedule(long seed) {
        random = new Random(seed);
        fleet = new FleetSimulator(seed, 0.03);
        hostCount = 3 + random.nextInt(6);
        regions = 1 + random.nextInt(2);
        dataCentres = regions * (1 + random.nextInt(2));
        publish();
        fleet.startAll();
    }

    RandomSchedule anyRestarts() {
        limitRestarts = false;
        return this;
    }

    FleetSimulator fleet() {
        return fleet;
    }

    void run(long millis, Consumer<FleetSimulator> check) {
        long end = fleet.network().nowMillis() + millis;
        long next = fleet.network().nowMillis() + 13_000;
        while (fleet.network().nowMillis() < end) {
            fleet.run(STEP_MILLIS);
            if (fleet.network().nowMillis() >= next) {
                applyRandomEvent();
                next = fleet.network().nowMillis() + 200 + random.nextInt(4_000);
            }
            check.accept(fleet);
        }
    }

    private void applyRandomEvent() {
        HostId host = GeneratedSheets.host(random.nextInt(hostCount));
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> changeHosts();
            case 3 -> restart(host);
            case 4 -> pause(host);
            case 5, 6 -> partition();
            case 7 -> disturbService();
            default ->
                fleet.network().faults(random.nextDouble() * 0.2, random.nextDouble() * 0.1, 1 + random.nextInt(400));
        }
    }

    /** Sometimes a second change follows immediately, so that hosts skip the version between them. */
    private void changeHosts() {
        Set<Integer> before = new HashSet<>(inactive);
        toggle();
        publish();
        if (random.nextInt(3) == 0) {
            fleet.run(random.nextInt(600));
            inactive = before;
            publish();
        }
    }

    private void toggle() {
        int index = random.nextInt(hostCount);
        if (!inactive.remove(index) && inactive.size() < hostCount - 1) {
            inactive.add(index);
        }
    }

    private void publish() {
        fleet.publish(GeneratedSheets.sheet(version, hostCount, inactive, dataCentres, regions, 1));
        version += 1 + random.nextInt(2);
    }

    private void restart(HostId host) {
        int index = Integer.parseInt(host.value().substring(1));
        int region = index % dataCentres % regions;
        long now = fleet.network().nowMillis();
        if (limitRestarts && now - restartedAt.getOrDefault(region, -RESTART_SPACING_MILLIS) < RESTART_SPACING_MILLIS) {
            return;
        }
        restartedAt.put(region, now);
        fleet.kill(host);
        fleet.network().after(random.nextInt(8_000), () -> fleet.start(host));
    }

    private void pause(HostId host) {
        SimulatedHost running = fleet.host(host);
        if (running != null && !running.isPaused()) {
            running.pause();
            fleet.network().after(1_000 + random.nextInt(25_000), running::resume);
        }
    }

    private void partition() {
        List<Set<HostId>> sides = new ArrayList<>(List.of(new HashSet<>(), new HashSet<>()));
        for (int i = 0; i < hostCount; i++) {
            sides.get(random.nextInt(2)).add(GeneratedSheets.host(i));
        }
        boolean oneWay = random.nextInt(4) == 0;
        Set<HostId> left = sides.get(0);
        fleet.network().cut((from, to) -> left.contains(from) != left.contains(to) && !(oneWay && left.contains(from)));
        fleet.network()
                .after(2_000 + random.nextInt(25_000), () -> fleet.network().cut((from, to) -> false));
    }

    private void disturbService() {
        int reader = random.nextInt(hostCount);
        int kind = random.nextInt(4);
        fleet.service().staleFor(h -> kind == 1, 1);
        fleet.service().reachableFor(h -> kind == 0 ? false : kind != 2 || h.equals(GeneratedSheets.host(reader)));
        fleet.network().after(3_000 + random.nextInt(20_000), () -> {
            fleet.service().staleFor(h -> false, 0);
            fleet.service().reachableFor(h -> true);
        });
    }
}
