package org.guavathread.gateway.fleet;

import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.wire.CodecException;
import org.guavathread.wire.UnknownMessageException;
import org.tinylog.Logger;

/** Counts messages of other hosts that cannot be read, and logs some of them. Thread-safe. */
final class UnreadableMessages {

    /** Minimum time between two lines: a host of another build may send several unknown messages a second. */
    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;

    private final String what;
    private final GatewayMetrics metrics;
    private long loggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
    private long unlogged;

    /**
     * Creates a counter.
     *
     * @param what the messages, for the log
     * @param metrics also counts them
     */
    UnreadableMessages(String what, GatewayMetrics metrics) {
        this.what = what;
        this.metrics = metrics;
    }

    /**
     * Counts a message.
     *
     * @param sender its sender, for the log
     * @param failure why it cannot be read
     * @return whether it was logged
     */
    synchronized boolean count(Object sender, CodecException failure) {
        metrics.unreadableMessage(failure instanceof UnknownMessageException ? "unknown" : "malformed");
        long now = System.nanoTime();
        if (now - loggedAtNanos < LOG_INTERVAL_NANOS) {
            unlogged++;
            return false;
        }
        Logger.warn(
                "A {} from {} cannot be decoded, like {} before it: {}", what, sender, unlogged, failure.getMessage());
        loggedAtNanos = now;
        unlogged = 0;
        return true;
    }
}
