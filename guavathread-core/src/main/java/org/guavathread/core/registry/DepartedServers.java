package org.guavathread.core.registry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.BackendServerId;

/**
 * Backend servers that have left: they announced their shutdown in the store or in an answer, or their entry was removed. A
 * store that returns from an older copy lists some of them as usable again, and one that a leaving server cannot reach goes
 * on listing it.
 *
 * <pre>{@code
 * departed.record(worker, epoch, now);
 * boolean withhold = departed.hasLeft(listed, laterEpoch, true);
 * }</pre>
 */
public final class DepartedServers {

    /** How long a departure is remembered; copies of the store are some seconds old. */
    public static final long RETENTION_MILLIS = 600_000;

    /** Epoch of a departure that the server itself stated in an answer: before all epochs, so each listing is later. */
    private static final long STATED_IN_ANSWER = -1;

    /** Maximum difference between the clocks of a host and a server, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    /** Time for which a departure that a server stated is reported to other hosts: the spreading of news in a large fleet. */
    private static final long NEWS_MILLIS = 10_000;

    /** Maximum number of departures in one notice: at about 40 bytes each, a quarter of a datagram. */
    private static final int MAX_NEWS = 8;

    /**
     * Departure of one process of a server.
     *
     * @param server the server
     * @param startedAtMillis start time of the process, as the server states it
     * @param epoch epoch of the store in which it left; -1 if the server stated in an answer that it leaves, which holds
     *     whatever any store says
     * @param isAnnounced whether the process announced its shutdown; otherwise its entry was removed, and it may only
     *     have been silent
     * @param retainedMillis for how much longer the departure is remembered
     */
    public record Departure(
            BackendServerId server, long startedAtMillis, long epoch, boolean isAnnounced, long retainedMillis) {

        /**
         * Tells whether the server stated in an answer that it leaves.
         *
         * @return true if its process is not to be used again, whatever the store says
         */
        public boolean isStatedInAnswer() {
            return epoch == STATED_IN_ANSWER;
        }
    }

    /** A departure, and the start time of the latest process that was found not to be the one that left. */
    private record Remembered(
            Departure departure, long learnedAtMillis, long expiresAtMillis, long inUseStartedAtMillis) {

        private long statedAtMillis() {
            return expiresAtMillis - RETENTION_MILLIS;
        }
    }

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
     * Records that a server has stated in an answer that it leaves.
     *
     * @param worker the entry of the process that answered
     * @param nowMillis the current time
     * @return true if it had not stated that before
     */
    public boolean recordStated(Worker worker, long nowMillis) {
        return merge(
                new Departure(worker.id(), worker.startedAtMillis(), STATED_IN_ANSWER, true, RETENTION_MILLIS),
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
        byServer.put(
                departure.server(),
                new Remembered(
                        departure, nowMillis, nowMillis + departure.retainedMillis(), departure.startedAtMillis()));
        return true;
    }

    private static boolean supersedes(Departure next, Departure known) {
        if (next.startedAtMillis() != known.startedAtMillis()) {
            return next.startedAtMillis() > known.startedAtMillis();
        }
        if (known.isStatedInAnswer() || next.isStatedInAnswer()) {
            return !known.isStatedInAnswer();
        }
        // The removal of an entry does not take back an announcement.
        return next.epoch() > known.epoch() && next.isAnnounced() == known.isAnnounced()
                || next.isAnnounced() && !known.isAnnounced();
    }

    /**
     * Forgets the departure of a server that is in use again. What an earlier process stated in an answer is kept, since
     * other hosts may report it once more.
     *
     * @param server the server
     */
    public void returned(BackendServerId server) {
        byServer.computeIfPresent(server, (id, r) -> r.departure().isStatedInAnswer() ? r : null);
    }

    /**
     * Tells whether the process of an entry may be the one that stated in an answer that it leaves, though the answer was
     * heard while an earlier entry stood. Answers do not tell which process gave them.
     *
     * @param listed the entry
     * @return true if its process had begun by then and has not been found in use since
     */
    public boolean mayHaveStated(Worker listed) {
        Remembered known = byServer.get(listed.id());
        return known != null
                && known.departure().isStatedInAnswer()
                && known.inUseStartedAtMillis() < listed.startedAtMillis()
                && listed.startedAtMillis() <= known.statedAtMillis() + MAX_CLOCK_DIFFERENCE_MILLIS;
    }

    /**
     * Records that the process of an entry does not leave, so that it was an earlier one that stated it.
     *
     * @param listed the entry
     */
    public void foundInUse(Worker listed) {
        byServer.computeIfPresent(
                listed.id(),
                (id, r) -> new Remembered(
                        r.departure(), r.learnedAtMillis(), r.expiresAtMillis(), listed.startedAtMillis()));
    }

    /**
     * Tells whether the process of an entry has stated in an answer that it leaves.
     *
     * @param listed the entry
     * @return true if it must not be used, whatever the store says
     */
    public boolean hasStated(Worker listed) {
        Remembered known = byServer.get(listed.id());
        return known != null
                && known.departure().isStatedInAnswer()
                && known.departure().startedAtMillis() >= listed.startedAtMillis();
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
        return byServer.values().stream().map(r -> remaining(r, nowMillis)).toList();
    }

    /**
     * Returns what servers have lately stated in answers, for hosts that may not learn it from the store.
     *
     * @param nowMillis the current time
     * @return departures, the latest first
     */
    public List<Departure> news(long nowMillis) {
        return byServer.values().stream()
                .filter(r -> r.departure().isStatedInAnswer() && nowMillis - r.learnedAtMillis() < NEWS_MILLIS)
                .sorted(Comparator.comparingLong(r -> -r.learnedAtMillis()))
                .limit(MAX_NEWS)
                .map(r -> remaining(r, nowMillis))
                .toList();
    }

    private static Departure remaining(Remembered remembered, long nowMillis) {
        Departure departure = remembered.departure();
        return new Departure(
                departure.server(),
                departure.startedAtMillis(),
                departure.epoch(),
                departure.isAnnounced(),
                remembered.expiresAtMillis() - nowMillis);
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
