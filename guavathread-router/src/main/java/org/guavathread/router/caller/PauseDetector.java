package org.guavathread.router.caller;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Supervised;

/**
 * Detects pauses of the process. A request that is read after a pause may have waited in the socket since before the
 * pause, so its arrival time is set to the last tick before the pause; otherwise it could run after another host
 * told its caller that nothing runs.
 */
public final class PauseDetector implements Supervised {

    private static final long TICK_MILLIS = 100;

    /** Longer than ordinary scheduling delays; shorter pauses are covered by the clock skew that claims allow for. */
    private static final long MIN_PAUSE_MILLIS = 300;

    /** Time after a pause within which all bytes that waited in sockets have been read. */
    private static final long BACKLOG_MILLIS = 1_000;

    private final Clock clock;
    private final ScheduledExecutorService ticks = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "pause-detector");
        thread.setDaemon(true);
        return thread;
    });
    private long lastTickMillis;
    private long pauseStartMillis;
    private long backlogUntilMillis;

    /**
     * Builds the detector.
     *
     * @param clock source of the current time
     */
    public PauseDetector(Clock clock) {
        this.clock = clock;
        this.lastTickMillis = clock.nowMillis();
    }

    @Override
    public String name() {
        return "pause-detector";
    }

    @Override
    public void start() {
        ticks.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        ticks.shutdownNow();
    }

    /**
     * Returns the arrival time to assume for a request that is read now: the current time, or the start of a recent
     * pause.
     *
     * @return milliseconds since the epoch
     */
    public synchronized long arrivalMillis() {
        long now = clock.nowMillis();
        detectPause(now);
        return now < backlogUntilMillis ? pauseStartMillis : now;
    }

    synchronized void tick() {
        long now = clock.nowMillis();
        detectPause(now);
        lastTickMillis = now;
    }

    private void detectPause(long nowMillis) {
        if (nowMillis - lastTickMillis < MIN_PAUSE_MILLIS) {
            return;
        }
        if (nowMillis >= backlogUntilMillis) {
            pauseStartMillis = lastTickMillis;
        }
        backlogUntilMillis = nowMillis + BACKLOG_MILLIS;
        lastTickMillis = nowMillis;
    }
}
