package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;

/**
 * Passive health check of backend servers, by the outcomes of their requests. A failing server is avoided with an
 * exponential backoff; if all servers of a pool are failing, none is avoided.
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

    private static final class Record {
        private double failureRate;
        private int consecutiveFailures;
        private long avoidUntilMillis;
    }

    private final Map<BackendServerId, Record> records = new HashMap<>();

    /**
     * Records an answer that shows that the server works.
     *
     * @param server the server
     */
    public void succeeded(BackendServerId server) {
        Record record = records.get(server);
        if (record != null) {
            record.failureRate *= 1 - SMOOTHING_FACTOR;
            record.consecutiveFailures = 0;
            record.avoidUntilMillis = 0;
        }
    }

    /**
     * Records a failed request, such as a truncated answer.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void failed(BackendServerId server, long nowMillis) {
        Record record = records.computeIfAbsent(server, id -> new Record());
        record.failureRate += (1 - record.failureRate) * SMOOTHING_FACTOR;
        record.consecutiveFailures++;
        if (record.failureRate > AVOID_FAILURE_RATE) {
            avoid(record, nowMillis);
        }
    }

    /**
     * Records that the server could not be reached or did not answer at all.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public void unreachable(BackendServerId server, long nowMillis) {
        Record record = records.computeIfAbsent(server, id -> new Record());
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
     * Filters out servers that are avoided, unless all of them are.
     *
     * @param servers the candidates
     * @param nowMillis the current time
     * @return the candidates to choose from
     */
    public List<Worker> preferred(Collection<Worker> servers, long nowMillis) {
        List<Worker> healthy =
                servers.stream().filter(w -> !isAvoided(w.id(), nowMillis)).toList();
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
