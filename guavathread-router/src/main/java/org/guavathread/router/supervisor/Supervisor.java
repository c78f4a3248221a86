package org.guavathread.router.supervisor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/**
 * Starts its children in order, stops them in reverse order, and decides whether a failed child may start again.
 *
 * <pre>{@code
 * Supervisor peers = new Supervisor("peers", clock, root);
 * peers.add(new Duty<>("membership", ...));
 * }</pre>
 */
public final class Supervisor implements Supervised {

    /** More failures than this within a minute point to a fault that a restart does not mend. */
    static final int MAX_RESTARTS_A_MINUTE = 5;

    private static final long MINUTE_MILLIS = 60_000;

    private final String name;
    private final Clock clock;
    private final Runnable onGiveUp;
    private final List<Supervised> children = new ArrayList<>();
    private final Deque<Long> restartsAtMillis = new ArrayDeque<>();

    /**
     * Builds a supervisor.
     *
     * @param name name in logs
     * @param clock source of the time
     * @param onGiveUp called when a child failed too often; the daemon then ends with exit code 70
     */
    public Supervisor(String name, Clock clock, Runnable onGiveUp) {
        this.name = name;
        this.clock = clock;
        this.onGiveUp = onGiveUp;
    }

    /**
     * Adds a child that is started after those added before.
     *
     * @param child the child
     * @param <T> its type
     * @return the child
     */
    public <T extends Supervised> T add(T child) {
        children.add(child);
        return child;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        children.forEach(Supervised::start);
    }

    @Override
    public void stop() {
        for (int i = children.size() - 1; i >= 0; i--) {
            children.get(i).stop();
        }
    }

    /**
     * Decides about a child that failed.
     *
     * @param child the child
     * @param failure what it failed with
     * @return true if it may start again
     */
    synchronized boolean mayRestart(Supervised child, Throwable failure) {
        long now = clock.nowMillis();
        while (!restartsAtMillis.isEmpty() && restartsAtMillis.peekFirst() <= now - MINUTE_MILLIS) {
            restartsAtMillis.removeFirst();
        }
        restartsAtMillis.addLast(now);
        boolean restart = restartsAtMillis.size() <= MAX_RESTARTS_A_MINUTE;
        Logger.error(failure, "Duty {}/{} failed; {}.", name, child.name(), restart ? "restarting it" : "giving up");
        if (!restart) {
            onGiveUp.run();
        }
        return restart;
    }
}
