package org.guavathread.bench.claims;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.HostId;

/** Delays, loses, duplicates and reorders messages, and partitions hosts. */
final class SimNetwork {

    /** One-way delay between hosts of one region according to section 1.7 of the design. */
    static final int BASE_DELAY_MILLIS = 1;

    private static final int MAX_SLOW_MILLIS = 3_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final FaultPlan plan;
    private final Set<HostId> cutOff = new HashSet<>();

    SimNetwork(VirtualTime time, RandomGenerator random, FaultPlan plan) {
        this.time = time;
        this.random = random;
        this.plan = plan;
    }

    void partition(Set<HostId> group) {
        cutOff.clear();
        cutOff.addAll(group);
    }

    boolean connects(HostId a, HostId b) {
        return cutOff.contains(a) == cutOff.contains(b);
    }

    void send(HostId from, HostId to, Runnable delivery) {
        if (from.equals(to)) {
            time.after(0, delivery);
            return;
        }
        int copies = random.nextDouble() < plan.duplicateShare() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (connects(from, to) && random.nextDouble() >= plan.lossShare()) {
                time.after(delayMillis(), () -> {
                    if (connects(from, to)) {
                        delivery.run();
                    }
                });
            }
        }
    }

    long delayMillis() {
        return random.nextDouble() < plan.slowShare() ? random.nextInt(MAX_SLOW_MILLIS) : BASE_DELAY_MILLIS;
    }
}
