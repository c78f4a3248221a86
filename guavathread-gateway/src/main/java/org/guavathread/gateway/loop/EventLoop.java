package org.guavathread.gateway.loop;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervised;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/**
 * Runs tasks and timers sequentially on one thread. Its inbox is bounded and refuses tasks instead of blocking.
 *
 * <pre>{@code
 * EventLoop.Timer timer = loop.schedule(deadlineMillis, call::deadlinePassed);
 * }</pre>
 */
public final class EventLoop implements Supervised {

    /** Tick interval; bounds the delay of due timers when a full inbox refuses tasks. */
    private static final long TICK_MILLIS = 100;

    private final Clock clock;
    private final Duty<PriorityQueue<Timer>> duty;
    private final AtomicLong refusedTasks = new AtomicLong();
    /** Ends that found the inbox full; each belongs to an exchange, a connection or a call, which bounds their number. */
    private final Queue<Runnable> ends = new ConcurrentLinkedQueue<>();

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            Comparator.comparingLong((Timer t) -> t.atMillis).thenComparingLong(t -> t.sequence));
    private long nextSequence;

    /** A task scheduled for a point in time. */
    public static final class Timer {

        private final long atMillis;
        private final long sequence;
        private Runnable task;

        private Timer(long atMillis, long sequence, Runnable task) {
            this.atMillis = atMillis;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task. Must be called on the loop's thread. */
        public void cancel() {
            task = null;
        }
    }

    /**
     * Creates the loop.
     *
     * @param name name of the thread
     * @param supervisor decides about restarts after a failure
     * @param clock source of the time
     */
    public EventLoop(String name, Supervisor supervisor, Clock clock) {
        this.clock = clock;
        this.duty = new Duty<>(name, () -> timers, supervisor, clock)
                .every(TICK_MILLIS, (queue, now) -> runDue(now))
                .wakingAt(queue -> queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMillis);
    }

    /**
     * Runs a task on the loop's thread. May be called on any thread.
     *
     * @param task the task; a failure is logged and does not end the loop
     * @return false if the inbox is full and the task will not run
     */
    public boolean execute(Runnable task) {
        boolean accepted = duty.offer(queue -> runLoggingFailure(task));
        if (!accepted && refusedTasks.incrementAndGet() % 1_000 == 1) {
            Logger.error("The inbox of {} is full; {} tasks were refused since the start.", name(), refusedTasks.get());
        }
        return accepted;
    }

    /**
     * Runs the end of work that has begun, such as an answer, on the loop's thread. May be called on any thread. Unlike new
     * work it is never refused, since somebody waits for it; if the inbox is full, it runs at the next tick.
     *
     * @param end the task; a failure is logged and does not end the loop
     */
    public void complete(Runnable end) {
        if (!duty.offer(queue -> runLoggingFailure(end))) {
            ends.add(end);
        }
    }

    /**
     * Schedules a task. Must be called on the loop's thread.
     *
     * @param atMillis milliseconds since the epoch
     * @param task the task
     * @return a handle to cancel it
     */
    public Timer schedule(long atMillis, Runnable task) {
        Timer timer = new Timer(atMillis, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch
     */
    public long nowMillis() {
        return clock.nowMillis();
    }

    private void runDue(long nowMillis) {
        for (Runnable end = ends.poll(); end != null; end = ends.poll()) {
            runLoggingFailure(end);
        }
        while (!timers.isEmpty() && timers.peek().atMillis <= nowMillis) {
            Runnable task = timers.poll().task;
            if (task != null) {
                runLoggingFailure(task);
            }
        }
    }

    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "A task of the event loop failed.");
        }
    }

    @Override
    public String name() {
        return duty.name();
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }
}
