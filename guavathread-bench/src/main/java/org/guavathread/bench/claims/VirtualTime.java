package org.guavathread.bench.claims;

import java.util.PriorityQueue;

/** Runs tasks in order of virtual time; tasks of the same time run in the order in which they were scheduled. */
final class VirtualTime {

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMillis;
    private long sequence;

    private record Task(long atMillis, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    void at(long atMillis, Runnable action) {
        tasks.add(new Task(Math.max(atMillis, nowMillis), sequence++, action));
    }

    void after(long delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
    }
}
