package org.guavathread.router.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time in the order of submission, on one of the submitting threads. No lock is held while a task
 * runs, so a task may cancel its own exchange.
 */
final class SerialExecutor {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            tasks.remove().run();
        } while (pending.decrementAndGet() != 0);
    }
}
