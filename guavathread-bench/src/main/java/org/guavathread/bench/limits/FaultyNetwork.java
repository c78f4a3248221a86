package org.guavathread.bench.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.guavathread.core.id.HostId;

/** Delivers messages between hosts late, out of order, twice or not at all. */
final class FaultyNetwork {

    private final EventQueue events;
    private final SplittableRandom random;
    private final Map<HostId, Integer> sides = new HashMap<>();
    private long minDelayMillis = 1;
    private long maxDelayMillis = 3;
    private double lossShare;
    private double duplicateShare;
    private double lateShare;
    private long messages;

    FaultyNetwork(EventQueue events, SplittableRandom random) {
        this.events = events;
        this.random = random;
    }

    FaultyNetwork delays(long minMillis, long maxMillis) {
        minDelayMillis = minMillis;
        maxDelayMillis = maxMillis;
        return this;
    }

    /** Sets the shares of messages that are lost, delivered twice, and delayed by up to 3 s. */
    FaultyNetwork faults(double lossShare, double duplicateShare, double lateShare) {
        this.lossShare = lossShare;
        this.duplicateShare = duplicateShare;
        this.lateShare = lateShare;
        return this;
    }

    /** Puts a host on a side of a partition; hosts on different sides cannot reach each other. */
    FaultyNetwork setSide(HostId host, int side) {
        sides.put(host, side);
        return this;
    }

    int sideOf(HostId host) {
        return sides.getOrDefault(host, 0);
    }

    long messages() {
        return messages;
    }

    void send(HostId from, HostId to, Runnable delivery) {
        messages++;
        int copies = random.nextDouble() < duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() < lossShare) {
                continue;
            }
            long delay = random.nextLong(minDelayMillis, maxDelayMillis + 1);
            if (random.nextDouble() < lateShare) {
                delay += random.nextLong(3000);
            }
            events.at(events.nowMillis() + delay, () -> {
                if (sideOf(from) == sideOf(to)) {
                    delivery.run();
                }
            });
        }
    }
}
