package org.guavathread.router.http;

import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/** Runs tasks at given times of the clock. A task never runs before the clock has reached its time. */
final class Timers implements AutoCloseable {

    private final Clock clock;
    private final ScheduledThreadPoolExecutor executor;

    Timers(Clock clock) {
        this.clock = clock;
        this.executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "http-client-timers");
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    Timer scheduleAt(long atMillis, Runnable task) {
        Timer timer = new Timer(atMillis, task);
        if (atMillis != Long.MAX_VALUE) {
            timer.schedule();
        }
        return timer;
    }

    void execute(Runnable task) {
        try {
            executor.execute(() -> runLoggingFailure(task));
        } catch (RejectedExecutionException e) {
            Logger.debug("The HTTP client is closed; dropping a task.");
        }
    }

    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "A timer task of the HTTP client failed.");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** A scheduled task. */
    final class Timer {

        private final long atMillis;
        private final Runnable task;
        private volatile boolean cancelled;
        private volatile Future<?> future;

        private Timer(long atMillis, Runnable task) {
            this.atMillis = atMillis;
            this.task = task;
        }

        private void schedule() {
            try {
                future =
                        executor.schedule(this::fire, Math.max(1, atMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
            } catch (RejectedExecutionException e) {
                Logger.debug("The HTTP client is closed; dropping a timer.");
            }
        }

        private void fire() {
            if (cancelled) {
                return;
            }
            if (clock.nowMillis() < atMillis) {
                schedule();
                return;
            }
            runLoggingFailure(task);
        }

        void cancel() {
            cancelled = true;
            Future<?> current = future;
            if (current != null) {
                current.cancel(false);
            }
        }
    }
}
