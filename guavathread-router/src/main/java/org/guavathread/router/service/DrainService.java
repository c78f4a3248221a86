package org.guavathread.router.service;

import org.guavathread.core.time.Clock;
import org.guavathread.router.flow.ActiveRequests;
import org.guavathread.router.supervisor.Supervised;
import org.tinylog.Logger;

/** Carries a graceful shutdown out, and ends requests again whose API key was withdrawn. */
public final class DrainService implements Supervised {

    /** Longer than callers keep the answer of {@code /v1/entry}, which is 5 s. */
    private static final long ANNOUNCE_MILLIS = 6_000;

    private static final long POLL_MILLIS = 50;

    private final ActiveRequests active;
    private final int deadlineMillis;
    private final Clock clock;
    private volatile boolean draining;
    private volatile boolean refusing;
    private volatile boolean running;
    private Thread thread;

    /**
     * Builds the service.
     *
     * @param active the running requests
     * @param deadlineMillis how long running requests may take after the start of the drain, in milliseconds
     * @param clock source of the time
     */
    public DrainService(ActiveRequests active, int deadlineMillis, Clock clock) {
        this.active = active;
        this.deadlineMillis = deadlineMillis;
        this.clock = clock;
    }

    /**
     * Tells whether this host is shutting down and must not be named to callers.
     *
     * @return true from the start of the drain
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true once callers have had time to learn of other addresses
     */
    public boolean refusesNewWork() {
        return refusing;
    }

    /**
     * Drains and returns when no request runs any more, at the latest at the deadline.
     *
     * @param hasPeers whether callers can go to another host; if not, waiting for them to leave is useless
     */
    public void drain(boolean hasPeers) {
        long startMillis = clock.nowMillis();
        draining = true;
        waitUntil(startMillis + (hasPeers ? Math.min(ANNOUNCE_MILLIS, deadlineMillis) : 0), false);
        refusing = true;
        waitUntil(startMillis + deadlineMillis, true);
        int left = active.count();
        if (left > 0) {
            Logger.warn("{} requests were still running at the drain deadline; they are cancelled.", left);
            active.cancelAll();
        }
    }

    @Override
    public String name() {
        return "key-withdrawal";
    }

    @Override
    public void start() {
        running = true;
        thread = new Thread(this::repeatEndings, name());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        thread.interrupt();
    }

    private void repeatEndings() {
        while (running) {
            active.repeatEndings(clock.nowMillis());
            if (!pause()) {
                return;
            }
        }
    }

    private void waitUntil(long untilMillis, boolean untilIdle) {
        while (clock.nowMillis() < untilMillis && !(untilIdle && active.count() == 0)) {
            if (!pause()) {
                return;
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(POLL_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
