package org.guavathread.bench.configuration;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

import org.guavathread.core.id.HostId;

/** Event queue with a virtual clock, and links that delay, lose and duplicate messages. */
public final class VirtualNetwork {

    private record Event(long atMillis, long sequence, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Random random;
    private long nowMillis;
    private long sequence;
    private double lossRate;
    private double duplicateRate;
    private int minDelayMillis = 1;
    private int maxDelayMillis = 3;
    private BiPredicate<HostId, HostId> cut = (from, to) -> false;

    /**
     * Builds a network without faults.
     *
     * @param random source of all randomness
     */
    public VirtualNetwork(Random random) {
        this.random = random;
    }

    /**
     * Sets the faults of all links.
     *
     * @param loss share of lost messages, 0 to 1
     * @param duplicates share of messages that arrive twice, 0 to 1
     * @param maxDelay largest delay in milliseconds
     * @return this network
     */
    public VirtualNetwork faults(double loss, double duplicates, int maxDelay) {
        lossRate = loss;
        duplicateRate = duplicates;
        maxDelayMillis = Math.max(minDelayMillis, maxDelay);
        return this;
    }

    /**
     * Cuts links; replaces the previous cut.
     *
     * @param isCut tells whether messages from one host to another are lost
     * @return this network
     */
    public VirtualNetwork cut(BiPredicate<HostId, HostId> isCut) {
        cut = isCut;
        return this;
    }

    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules a task.
     *
     * @param delayMillis time from now in milliseconds
     * @param task the task
     */
    public void after(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + delayMillis, sequence++, task));
    }

    /**
     * Sends a message over a link.
     *
     * @param from the sender
     * @param to the receiver
     * @param delivery run when the message arrives, at most twice
     */
    public void send(HostId from, HostId to, Runnable delivery) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            int delay = minDelayMillis + random.nextInt(maxDelayMillis - minDelayMillis + 1);
            after(delay, () -> {
                if (!cut.test(from, to)) {
                    delivery.run();
                }
            });
        }
    }

    /**
     * Runs all events up to a time.
     *
     * @param untilMillis the time at which to stop
     */
    public void runUntil(long untilMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
        }
        nowMillis = untilMillis;
    }
}
