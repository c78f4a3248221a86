package org.guavathread.router.service;

import java.util.concurrent.CountDownLatch;

import org.guavathread.core.drain.DrainState;
import org.guavathread.core.drain.DrainStep;
import org.guavathread.core.time.Clock;
import org.guavathread.router.flow.ActiveRequests;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/** Duty {@code drain}: carries a graceful shutdown out, and ends requests whose API key was withdrawn. */
public final class DrainService {

    private static final long TICK_MILLIS = 50;

    private final ActiveRequests active;
    private final int deadlineMillis;
    private final Clock clock;
    private final DrainState state = new DrainState();
    private final CountDownLatch mayExit = new CountDownLatch(1);

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param active the running requests
     * @param deadlineMillis how long running requests may take after the start of the drain, in milliseconds
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public DrainService(ActiveRequests active, int deadlineMillis, Supervisor supervisor, Clock clock) {
        this.active = active;
        this.deadlineMillis = deadlineMillis;
        this.clock = clock;
        // The drain survives a restart of its duty, so its state belongs to the service and not to the duty.
        supervisor.add(new Duty<>("drain", () -> state, supervisor, clock).every(TICK_MILLIS, this::tick));
    }

    /**
     * Tells whether this host is shutting down and must not be named to callers.
     *
     * @return true from the start of the drain
     */
    public boolean isDraining() {
        synchronized (state) {
            return state.isDraining();
        }
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true once callers have had time to learn of other addresses
     */
    public boolean refusesNewWork() {
        synchronized (state) {
            return !state.acceptsWork(clock.nowMillis());
        }
    }

    /**
     * Drains and returns when no request runs any more, at the latest shortly after the deadline.
     *
     * @param hasPeers whether callers can go to another host; if not, waiting for them to leave is useless
     */
    public void drain(boolean hasPeers) {
        synchronized (state) {
            state.begin(hasPeers, deadlineMillis, clock.nowMillis());
        }
        try {
            mayExit.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick(DrainState same, long nowMillis) {
        active.repeatCancellations(nowMillis);
        DrainStep step;
        synchronized (state) {
            step = state.onTick(active.count(), nowMillis);
        }
        if (step == DrainStep.CANCEL_RUNNING) {
            Logger.warn("{} requests still run at the drain deadline; they are cancelled.", active.count());
            active.cancelAll();
        } else if (step == DrainStep.EXIT) {
            mayExit.countDown();
        }
    }
}
