package org.guavathread.router.http;

/**
 * Limits of an {@link HttpClient}.
 *
 * @param maxConnections maximum number of connections per address, open and opening
 * @param maxWaiting maximum number of requests per address that wait for a connection
 * @param connectTimeoutMillis timeout for opening a connection, in milliseconds
 * @param idleMillis time after which an unused connection is closed, in milliseconds
 * @param nonRepeatableIdleMillis time after which an unused connection no longer carries non-repeatable requests, in
 *     milliseconds
 * @param maxHeadBytes maximum size of the status line and headers of a response, in bytes
 * @param workerThreads number of threads that parse responses and call listeners
 */
public record HttpClientSettings(
        int maxConnections,
        int maxWaiting,
        long connectTimeoutMillis,
        long idleMillis,
        long nonRepeatableIdleMillis,
        int maxHeadBytes,
        int workerThreads) {

    /**
     * 64 connections, 1,024 waiting requests, 1 s to connect, 30 s idle, 10 s idle for non-repeatable requests, 16 KiB
     * heads, 4 threads.
     */
    public static final HttpClientSettings DEFAULTS =
            new HttpClientSettings(64, 1_024, 1_000, 30_000, 10_000, 16 * 1024, 4);

    /**
     * Replaces the limits of the pool.
     *
     * @param connections maximum number of connections per address
     * @param waiting maximum number of requests per address that wait for a connection
     * @return changed settings
     */
    public HttpClientSettings withPool(int connections, int waiting) {
        return new HttpClientSettings(
                connections,
                waiting,
                connectTimeoutMillis,
                idleMillis,
                nonRepeatableIdleMillis,
                maxHeadBytes,
                workerThreads);
    }

    /**
     * Replaces the connect timeout.
     *
     * @param millis milliseconds
     * @return changed settings
     */
    public HttpClientSettings withConnectTimeoutMillis(long millis) {
        return new HttpClientSettings(
                maxConnections, maxWaiting, millis, idleMillis, nonRepeatableIdleMillis, maxHeadBytes, workerThreads);
    }

    /**
     * Replaces the limits for idle connections.
     *
     * @param idle time after which an unused connection is closed, in milliseconds
     * @param nonRepeatableIdle time after which it no longer carries non-repeatable requests, in milliseconds
     * @return changed settings
     */
    public HttpClientSettings withIdleMillis(long idle, long nonRepeatableIdle) {
        return new HttpClientSettings(
                maxConnections, maxWaiting, connectTimeoutMillis, idle, nonRepeatableIdle, maxHeadBytes, workerThreads);
    }
}
