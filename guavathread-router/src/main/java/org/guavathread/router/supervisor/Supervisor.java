package org.guavathread.router.supervisor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/**
 * Starts its children in order, stops them in reverse order, and decides whether a failed child may be restarted.
 *
 * <pre>{@code
 * Supervisor peers = new Supervisor("peers", clock, root);
 * peers.add(new Duty<>("membership", ...));
 * }</pre>
 */
public final class Supervisor implements Supervised {

    /** More failures than this within a minute indicate a fault that restarting does not fix. */
    static final int MAX_RESTARTS_PER_MINUTE = 5;

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
     * @param clock source of the current time
     * @param onGiveUp called when a child has failed too often; the daemon then exits with code 70
     */
    public Supervisor(String name, Clock clock, Runnable onGiveUp) {
        this.name = name;
        this.clock = clock;
        this.onGiveUp = onGiveUp;
    }

    /**
     * Adds a child, which is started after the children added before it.
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
     * Decides whether a failed child may be restarted.
     *
     * @param child the child
     * @param failure the cause of the failure
     * @return true if it may be restarted
     */
    synchronized boolean mayRestart(Supervised child, Throwable failure) {
        long now = clock.nowMillis();
        while (!restartsAtMillis.isEmpty() && restartsAtMillis.peekFirst() <= now - MINUTE_MILLIS) {
            restartsAtMillis.removeFirst();
        }
        restartsAtMillis.addLast(now);
        boolean restart = restartsAtMillis.size() <= MAX_RESTARTS_PER_MINUTE;
        Logger.error(failure, "Duty {}/{} failed; {}.", name, child.name(), restart ? "restarting it" : "giving up");
        if (!restart) {
            onGiveUp.run();
        }
        return restart;
    }
}
