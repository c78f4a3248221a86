package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;

/**
 * Detects that this host cannot open connections to a group of backend servers, although the servers may be sound. One
 * server that fails is no sign of it, nor are servers that accept connections and do not answer.
 */
public final class ServerReach {

    /** Servers that must have failed in a row; a smaller group counts as out of reach when all of it has. */
    private static final int MIN_FAILED_SERVERS = 3;

    /** Time for which a failed connection counts. */
    private static final long FAILURE_VALIDITY_MILLIS = 3_000;

    /** Time after the last successful connection in which failures may be of servers that crashed together. */
    private static final long SUCCESS_VALIDITY_MILLIS = 300;

    private final Map<BackendServerId, Long> failedAtMillis = new HashMap<>();
    private final Map<BackendServerId, Long> connectedAtMillis = new HashMap<>();
    private long latestFailureMillis = -FAILURE_VALIDITY_MILLIS;

    /**
     * Records that a server could be connected to.
     *
     * @param server the server
     * @param openedAtMillis when the connection was opened, not when the server answered
     */
    public void connected(BackendServerId server, long openedAtMillis) {
        connectedAtMillis.merge(server, openedAtMillis, Math::max);
    }

    /**
     * Records that no connection to a server could be opened.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void notConnected(BackendServerId server, long nowMillis) {
        failedAtMillis.put(server, nowMillis);
        latestFailureMillis = nowMillis;
    }

    /**
     * Tells whether a connection has failed lately; otherwise no servers are out of reach, whichever they are.
     *
     * @param nowMillis the current time
     * @return true if failures have to be looked at
     */
    public boolean hasRecentFailures(long nowMillis) {
        return nowMillis - latestFailureMillis < FAILURE_VALIDITY_MILLIS;
    }

    /**
     * Tells whether servers are out of reach: several have failed since the last connection to any of them.
     *
     * @param servers the servers, such as those of a service
     * @param nowMillis the current time
     * @return true if this host itself must be cut off from them
     */
    public boolean isOutOfReach(Collection<Worker> servers, long nowMillis) {
        long connectedMillis = servers.stream()
                .mapToLong(w -> connectedAtMillis.getOrDefault(w.id(), Long.MIN_VALUE))
                .max()
                .orElse(Long.MIN_VALUE);
        if (servers.isEmpty() || connectedMillis > nowMillis - SUCCESS_VALIDITY_MILLIS) {
            return false;
        }
        long sinceMillis = Math.max(connectedMillis, nowMillis - FAILURE_VALIDITY_MILLIS);
        long failed = servers.stream()
                .filter(w -> failedAtMillis.getOrDefault(w.id(), Long.MIN_VALUE) > sinceMillis)
                .count();
        return failed >= Math.min(MIN_FAILED_SERVERS, servers.size());
    }

    /**
     * Picks the server to try next, to notice that servers are within reach again.
     *
     * @param servers the servers that are out of reach
     * @return the one whose last failure is longest ago, or empty if there are no servers
     */
    public Optional<Worker> nextToProbe(Collection<Worker> servers) {
        return servers.stream()
                .min(Comparator.comparingLong((Worker w) -> failedAtMillis.getOrDefault(w.id(), Long.MIN_VALUE))
                        .thenComparing(Worker::id));
    }

    /**
     * Removes the records of servers that no longer exist.
     *
     * @param present ids of the servers that exist
     */
    public void retain(Collection<BackendServerId> present) {
        failedAtMillis.keySet().retainAll(present);
        connectedAtMillis.keySet().retainAll(present);
    }
}
