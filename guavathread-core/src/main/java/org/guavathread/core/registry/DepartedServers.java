package org.guavathread.core.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.BackendServerId;

/**
 * Backend servers that have left: they announced their shutdown, or their entry was removed. A store that returns from an
 * older copy lists some of them as usable again.
 *
 * <pre>{@code
 * departed.record(worker, epoch, now);
 * boolean withhold = departed.hasLeft(listed, laterEpoch, true);
 * }</pre>
 */
public final class DepartedServers {

    /** How long a departure is remembered; copies of the store are some seconds old. */
    public static final long RETENTION_MILLIS = 600_000;

    /**
     * Departure of one process of a server.
     *
     * @param server the server
     * @param startedAtMillis start time of the process, as the server states it
     * @param epoch epoch of the store in which it left
     * @param isAnnounced whether the process announced its shutdown; otherwise its entry was removed, and it may only
     *     have been silent
     * @param retainedMillis for how much longer the departure is remembered
     */
    public record Departure(
            BackendServerId server, long startedAtMillis, long epoch, boolean isAnnounced, long retainedMillis) {}

    private record Remembered(Departure departure, long expiresAtMillis) {}

    private final Map<BackendServerId, Remembered> byServer = new HashMap<>();

    /**
     * Records that a server has left.
     *
     * @param worker its last entry; one that is draining announced its shutdown
     * @param epoch epoch of the store in which it left
     * @param nowMillis the current time
     */
    public void record(Worker worker, long epoch, long nowMillis) {
        merge(
                new Departure(worker.id(), worker.startedAtMillis(), epoch, worker.draining(), RETENTION_MILLIS),
                nowMillis);
    }

    /**
     * Adds a departure that another host knows.
     *
     * @param departure the departure
     * @param nowMillis the current time
     * @return true if it was not known yet
     */
    public boolean merge(Departure departure, long nowMillis) {
        Remembered known = byServer.get(departure.server());
        if (known != null && !supersedes(departure, known.departure())) {
            return false;
        }
        byServer.put(departure.server(), new Remembered(departure, nowMillis + departure.retainedMillis()));
        return true;
    }

    private static boolean supersedes(Departure next, Departure known) {
        if (next.startedAtMillis() != known.startedAtMillis()) {
            return next.startedAtMillis() > known.startedAtMillis();
        }
        // The removal of an entry does not take back an announcement.
        return next.epoch() > known.epoch() && next.isAnnounced() == known.isAnnounced()
                || next.isAnnounced() && !known.isAnnounced();
    }

    /**
     * Forgets the departure of a server that is in use again.
     *
     * @param server the server
     */
    public void returned(BackendServerId server) {
        byServer.remove(server);
    }

    /**
     * Tells whether the process of an entry has left in an earlier epoch than the one that lists it. Within one epoch the
     * latest entry is the server's own word.
     *
     * @param listed the entry
     * @param epoch epoch of the store that lists it
     * @param mayBeOutdated whether the store may still list servers that no longer exist
     * @return true if the server must not be used
     */
    public boolean hasLeft(Worker listed, long epoch, boolean mayBeOutdated) {
        Remembered known = byServer.get(listed.id());
        return known != null
                && known.departure().epoch() < epoch
                && known.departure().startedAtMillis() >= listed.startedAtMillis()
                && (known.departure().isAnnounced() || mayBeOutdated);
    }

    /**
     * Returns the departures, for other hosts.
     *
     * @param nowMillis the current time
     * @return the departures that are remembered
     */
    public List<Departure> departures(long nowMillis) {
        return byServer.values().stream()
                .map(r -> new Departure(
                        r.departure().server(),
                        r.departure().startedAtMillis(),
                        r.departure().epoch(),
                        r.departure().isAnnounced(),
                        r.expiresAtMillis() - nowMillis))
                .toList();
    }

    /**
     * Forgets departures that are older than {@link #RETENTION_MILLIS}.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        byServer.values().removeIf(r -> r.expiresAtMillis() <= nowMillis);
    }
}
