package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;

/**
 * Pauses that backend servers ask for when they turn a request away. A pause binds the host that was told and concerns the
 * process that asked. Nothing ends it early: answers to requests that were sent before say nothing about it, and a shorter
 * one that is stated later does not replace it.
 *
 * <pre>{@code
 * pauses.state(worker, now + 2_000, now);
 * List<Worker> candidates = pauses.withoutPause(servers, now);
 * }</pre>
 */
public final class ServerPauses {

    /** Maximum difference between the clocks of a host and a server, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    /**
     * A pause of the process of an entry, or of a later one that had begun when the pause was stated: answers do not tell
     * which process gave them.
     */
    private record Pause(long startedAtMillis, long latestStartMillis, long untilMillis) {

        private boolean concerns(Worker server) {
            return latestStartMillis >= server.startedAtMillis();
        }
    }

    private final Map<BackendServerId, Pause> pauses = new HashMap<>();

    /**
     * Records that a server asks for a pause.
     *
     * @param server the entry under which the server was asked
     * @param untilMillis the end of the pause
     * @param nowMillis the current time
     */
    public void state(Worker server, long untilMillis, long nowMillis) {
        // A pause outlives the server's entry, which may be missing for a while.
        pauses.values().removeIf(p -> p.untilMillis() <= nowMillis);
        long latestStartMillis = Math.max(server.startedAtMillis(), nowMillis + MAX_CLOCK_DIFFERENCE_MILLIS);
        Pause stated = new Pause(server.startedAtMillis(), latestStartMillis, untilMillis);
        pauses.merge(server.id(), stated, ServerPauses::merge);
    }

    private static Pause merge(Pause known, Pause stated) {
        if (stated.startedAtMillis() > known.latestStartMillis()) {
            return stated;
        }
        if (known.startedAtMillis() > stated.latestStartMillis()) {
            return known;
        }
        return new Pause(
                Math.max(known.startedAtMillis(), stated.startedAtMillis()),
                Math.max(known.latestStartMillis(), stated.latestStartMillis()),
                Math.max(known.untilMillis(), stated.untilMillis()));
    }

    /**
     * Tells whether a server is in a pause.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return true if it wants no requests from this host
     */
    public boolean isPaused(Worker server, long nowMillis) {
        Pause pause = pauses.get(server.id());
        return pause != null && pause.concerns(server) && nowMillis < pause.untilMillis();
    }

    /**
     * Filters out servers in a pause.
     *
     * @param servers the candidates
     * @param nowMillis the current time
     * @return those that take requests from this host
     */
    public List<Worker> withoutPause(Collection<Worker> servers, long nowMillis) {
        return servers.stream().filter(w -> !isPaused(w, nowMillis)).toList();
    }

    /**
     * Returns when the first of some servers takes requests again.
     *
     * @param servers the servers
     * @param nowMillis the current time
     * @return the end of the pause that ends first, or empty if a server is in no pause or there are no servers
     */
    public OptionalLong firstReturnMillis(Collection<Worker> servers, long nowMillis) {
        if (!withoutPause(servers, nowMillis).isEmpty()) {
            return OptionalLong.empty();
        }
        return servers.stream().mapToLong(w -> pauses.get(w.id()).untilMillis()).min();
    }

    /**
     * Returns the number of servers in a pause.
     *
     * @param nowMillis the current time
     * @return servers
     */
    public int size(long nowMillis) {
        return (int) pauses.values().stream()
                .filter(p -> nowMillis < p.untilMillis())
                .count();
    }
}
