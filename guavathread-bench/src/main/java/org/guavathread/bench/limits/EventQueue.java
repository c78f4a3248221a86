package org.guavathread.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that runs events in order of time; events of the same time run in the order they were added. */
final class EventQueue {

    private record Event(long atMillis, long sequence, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long lastSequence;

    EventQueue(long startMillis) {
        nowMillis = startMillis;
    }

    long nowMillis() {
        return nowMillis;
    }

    void at(long atMillis, Runnable task) {
        events.add(new Event(Math.max(atMillis, nowMillis), ++lastSequence, task));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event next = events.poll();
            nowMillis = next.atMillis;
            next.task.run();
        }
        nowMillis = endMillis;
    }
}
