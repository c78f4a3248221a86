package org.guavathread.router.service;

import java.util.concurrent.CountDownLatch;

import org.guavathread.core.drain.DrainState;
import org.guavathread.core.drain.DrainStep;
import org.guavathread.core.time.Clock;
import org.guavathread.router.flow.ActiveRequests;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/** Duty {@code drain}: performs the graceful shutdown, and cancels requests whose API key was withdrawn. */
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
     * @param active the requests in progress
     * @param deadlineMillis how long running requests may take after the start of the drain, in milliseconds
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public DrainService(ActiveRequests active, int deadlineMillis, Supervisor supervisor, Clock clock) {
        this.active = active;
        this.deadlineMillis = deadlineMillis;
        this.clock = clock;
        // The service, not the duty, owns the state, so that a drain continues after a restart of the duty.
        supervisor.add(new Duty<>("drain", () -> state, supervisor, clock).every(TICK_MILLIS, this::tick));
    }

    /**
     * Tells whether this host is shutting down, so that callers must not be sent to it.
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
     * @return true once callers have had time to fetch other addresses
     */
    public boolean refusesNewWork() {
        synchronized (state) {
            return !state.acceptsWork(clock.nowMillis());
        }
    }

    /**
     * Drains the host. Returns when no request is in progress, at the latest shortly after the deadline.
     *
     * @param hasPeers whether callers can switch to another host; if not, the drain does not wait for them to leave
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

    private void tick(DrainState unused, long nowMillis) {
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
