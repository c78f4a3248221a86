package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;

/**
 * Passive health check of backend servers, by the outcomes of their requests. A failing server is avoided with an
 * exponential backoff; if all servers of a pool are failing, none is avoided. Hosts tell each other which servers they
 * cannot connect to, since in a large fleet each host alone would lose requests at each of them. An engine that has room
 * by its load and still refuses reservations, as a stopping one does, is left alone for longer each time.
 */
public final class ServerHealth {

    /** Weight of the latest outcome in the moving average: three consecutive failures raise it above 0.5. */
    private static final double SMOOTHING_FACTOR = 0.25;

    /** Failure rate above which a server is avoided. */
    private static final double AVOID_FAILURE_RATE = 0.45;

    /** Initial backoff; doubles with each further failure. */
    private static final long INITIAL_BACKOFF_MILLIS = 500;

    /** Maximum backoff: crashed servers are back after a few seconds. */
    private static final long MAX_BACKOFF_MILLIS = 4_000;

    /** Failures in a row that a failed connection counts as if other hosts have just seen the same. */
    private static final int CONFIRMED_FAILURES = 2;

    /** Time for which an engine is left alone that refused a reservation and was expected to be nearly full. */
    private static final long FULL_BACKOFF_MILLIS = 80;

    /** Initial backoff after a refusal of an engine that was expected to have room; doubles with each further one. */
    private static final long UNEXPECTED_REFUSAL_BACKOFF_MILLIS = 120;

    /** Maximum backoff after refusals, about the time in which a stopping server disappears from the registry. */
    private static final long MAX_REFUSAL_BACKOFF_MILLIS = 2_000;

    /** Fraction of the servers beyond which a host that cannot reach them is cut off itself. */
    private static final double MAX_UNREACHABLE_FRACTION = 1 / 3.0;

    /** Time after a success in which other hosts' reports about the server do not count. */
    private static final long SUCCESS_VALIDITY_MILLIS = 1_500;

    private static final class Record {
        private double failureRate;
        private int consecutiveFailures;
        private int unexpectedRefusals;
        private long avoidUntilMillis;
        private long unreachableUntilMillis;
        private long fullUntilMillis;
        private long succeededAtMillis = -SUCCESS_VALIDITY_MILLIS;
    }

    private final Map<BackendServerId, Record> records = new HashMap<>();
    private final Map<BackendServerId, Long> unreachableForOthersAtMillis = new HashMap<>();
    private Set<BackendServerId> unreachableForOthers = Set.of();

    /**
     * Records an answer that shows that the server works.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void succeeded(BackendServerId server, long nowMillis) {
        Record record = records.get(server);
        if (record == null && unreachableForOthers.contains(server)) {
            record = recordOf(server);
        }
        if (record != null) {
            record.failureRate *= 1 - SMOOTHING_FACTOR;
            record.consecutiveFailures = 0;
            record.avoidUntilMillis = 0;
            record.unreachableUntilMillis = 0;
            record.succeededAtMillis = nowMillis;
        }
    }

    /**
     * Records that an engine has reserved memory.
     *
     * @param server the engine
     */
    public void reserved(BackendServerId server) {
        Record record = records.get(server);
        if (record != null) {
            record.unexpectedRefusals = 0;
            record.fullUntilMillis = 0;
        }
    }

    /**
     * Records that an engine has refused to reserve memory.
     *
     * @param server the engine
     * @param roomWasExpected whether it should have had room, by the load that is known
     * @param nowMillis the current time
     */
    public void refused(BackendServerId server, boolean roomWasExpected, long nowMillis) {
        Record record = recordOf(server);
        long backoffMillis = FULL_BACKOFF_MILLIS;
        if (roomWasExpected) {
            int doublings = Math.min(record.unexpectedRefusals++, 5);
            backoffMillis = Math.min(MAX_REFUSAL_BACKOFF_MILLIS, UNEXPECTED_REFUSAL_BACKOFF_MILLIS << doublings);
        }
        record.fullUntilMillis = nowMillis + backoffMillis;
    }

    /**
     * Tells whether an engine should not be asked for memory, because it has just refused it.
     *
     * @param server the engine
     * @param nowMillis the current time
     * @return true while its backoff lasts
     */
    public boolean isFull(BackendServerId server, long nowMillis) {
        Record record = records.get(server);
        return record != null && nowMillis < record.fullUntilMillis;
    }

    /**
     * Records a failed request, such as a truncated answer.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void failed(BackendServerId server, long nowMillis) {
        Record record = recordOf(server);
        record.failureRate += (1 - record.failureRate) * SMOOTHING_FACTOR;
        record.consecutiveFailures++;
        if (record.failureRate > AVOID_FAILURE_RATE) {
            avoid(record, nowMillis);
        }
    }

    /**
     * Records that no connection to the server could be opened. Other hosts are told.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void notConnected(BackendServerId server, long nowMillis) {
        Record record = recordOf(server);
        Long othersAtMillis = unreachableForOthersAtMillis.get(server);
        if (othersAtMillis != null && nowMillis - othersAtMillis < MAX_BACKOFF_MILLIS) {
            record.consecutiveFailures = Math.max(record.consecutiveFailures, CONFIRMED_FAILURES);
        }
        unreachable(server, nowMillis);
        record.unreachableUntilMillis = record.avoidUntilMillis;
    }

    /**
     * Returns the servers to which this host cannot connect, for its report to other hosts.
     *
     * @param known number of known servers
     * @param nowMillis the current time
     * @return ids; none if they are so many that this host itself must be cut off
     */
    public List<BackendServerId> serversNotConnected(int known, long nowMillis) {
        List<BackendServerId> ids = records.entrySet().stream()
                .filter(e -> nowMillis < e.getValue().unreachableUntilMillis)
                .map(Map.Entry::getKey)
                .toList();
        return ids.size() <= MAX_UNREACHABLE_FRACTION * known ? ids : List.of();
    }

    /**
     * Replaces the servers to which other hosts cannot connect.
     *
     * @param ids the servers, by recent reports
     * @param nowMillis the current time
     */
    public void replaceUnreachableForOthers(Set<BackendServerId> ids, long nowMillis) {
        unreachableForOthers = Set.copyOf(ids);
        ids.forEach(id -> unreachableForOthersAtMillis.put(id, nowMillis));
        unreachableForOthersAtMillis.values().removeIf(at -> nowMillis - at >= MAX_BACKOFF_MILLIS);
    }

    private Record recordOf(BackendServerId server) {
        return records.computeIfAbsent(server, id -> new Record());
    }

    /**
     * Records that the server could not be reached or did not answer at all.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void unreachable(BackendServerId server, long nowMillis) {
        Record record = recordOf(server);
        record.failureRate = Math.max(record.failureRate, AVOID_FAILURE_RATE);
        record.consecutiveFailures++;
        avoid(record, nowMillis);
    }

    private static void avoid(Record record, long nowMillis) {
        int doublings = Math.min(record.consecutiveFailures - 1, 3);
        record.avoidUntilMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
    }

    /**
     * Returns the failure rate of a server.
     *
     * @param server the server
     * @return 0 (no failures) to 1
     */
    public double failureRate(BackendServerId server) {
        Record record = records.get(server);
        return record == null ? 0 : record.failureRate;
    }

    /**
     * Filters out servers that are avoided, unless all of them are. Reports of other hosts may take out a third of the
     * servers at most.
     *
     * @param servers the candidates
     * @param nowMillis the current time
     * @return the candidates to choose from
     */
    public List<Worker> preferred(Collection<Worker> servers, long nowMillis) {
        List<Worker> usable =
                servers.stream().filter(w -> !isAvoided(w.id(), nowMillis)).toList();
        if (servers.size() - usable.size() <= MAX_UNREACHABLE_FRACTION * servers.size()) {
            return usable;
        }
        List<Worker> healthy = servers.stream()
                .filter(w -> !isAvoidedByOwnRequests(w.id(), nowMillis))
                .toList();
        return healthy.isEmpty() ? List.copyOf(servers) : healthy;
    }

    /**
     * Tells whether a server is avoided.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return true while its backoff lasts
     */
    public boolean isAvoided(BackendServerId server, long nowMillis) {
        if (isAvoidedByOwnRequests(server, nowMillis)) {
            return true;
        }
        Record record = records.get(server);
        boolean worksForThisHost = record != null && nowMillis - record.succeededAtMillis < SUCCESS_VALIDITY_MILLIS;
        return unreachableForOthers.contains(server) && !worksForThisHost;
    }

    private boolean isAvoidedByOwnRequests(BackendServerId server, long nowMillis) {
        Record record = records.get(server);
        return record != null && nowMillis < record.avoidUntilMillis;
    }

    /**
     * Removes the records of servers that no longer exist.
     *
     * @param present ids of the servers that exist
     */
    public void retain(Collection<BackendServerId> present) {
        records.keySet().retainAll(present);
    }
}
