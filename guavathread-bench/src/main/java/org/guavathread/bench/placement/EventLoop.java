package org.guavathread.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock in microseconds that runs events in order of time; events of the same time run in the order they were
 * scheduled.
 */
final class EventLoop {

    private record Event(long atMicros, long sequence, Runnable body) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1_000;
    }

    void after(long micros, Runnable body) {
        at(nowMicros + micros, body);
    }

    /**
     * Runs the body immediately if there is no delay, so that the omniscient router sees the effect of its own
     * decision.
     */
    void afterOrNow(long micros, Runnable body) {
        if (micros == 0) {
            body.run();
        } else {
            after(micros, body);
        }
    }

    void at(long micros, Runnable body) {
        events.add(new Event(Math.max(nowMicros, micros), nextSequence++, body));
    }

    void every(long micros, long untilMicros, Runnable body) {
        after(micros, () -> {
            body.run();
            if (nowMicros < untilMicros) {
                every(micros, untilMicros, body);
            }
        });
    }

    void run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMicros = next.atMicros();
            next.body().run();
        }
    }
}
