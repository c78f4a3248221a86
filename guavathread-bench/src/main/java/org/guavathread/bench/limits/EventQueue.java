package org.guavathread.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that runs events in order of time; events of the same time run in the order they were added. */
final class EventQueue {

    private record Event(long atMillis, long number, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long nowMillis;
    private long lastNumber;

    EventQueue(long startMillis) {
        nowMillis = startMillis;
    }

    long nowMillis() {
        return nowMillis;
    }

    void at(long atMillis, Runnable run) {
        events.add(new Event(Math.max(atMillis, nowMillis), ++lastNumber, run));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event next = events.poll();
            nowMillis = next.atMillis;
            next.run.run();
        }
        nowMillis = endMillis;
    }
}
