package org.guavathread.router.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.AbstractSocketConnectorHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * The connections to one address. Each open or opening connection takes one of a bounded number of slots; further
 * requests wait in a bounded queue until a slot is free or their deadline has passed.
 */
final class ConnectionPool {

    private final SocketAddressText peer;
    private final HttpClientSettings settings;
    private final AbstractSocketConnectorHandler connector;
    private final Timers timers;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Set<HttpExchange> waiting = new LinkedHashSet<>();
    private int slotsUsed;
    private boolean closed;
    private boolean expiryScheduled;

    ConnectionPool(
            SocketAddressText peer,
            HttpClientSettings settings,
            AbstractSocketConnectorHandler connector,
            Timers timers) {
        this.peer = peer;
        this.settings = settings;
        this.connector = connector;
        this.timers = timers;
    }

    /** Passes an idle connection to the exchange, opens a new one, or queues the exchange. */
    void acquire(HttpExchange exchange) {
        List<PooledConnection> unusable = new ArrayList<>();
        PooledConnection found;
        boolean connect = false;
        String refusal = null;
        synchronized (this) {
            found = takeIdle(exchange, unusable);
            if (found == null && !closed && slotsUsed < settings.maxConnections()) {
                slotsUsed++;
                connect = true;
            } else if (found == null && closed) {
                refusal = "the client is closed";
            } else if (found == null && waiting.size() >= settings.maxWaiting()) {
                refusal = settings.maxWaiting() + " requests already wait for a connection";
            } else if (found == null) {
                waiting.add(exchange);
            }
        }
        unusable.forEach(each -> each.connection().closeSilently());
        if (found != null) {
            exchange.onConnection(found);
        } else if (connect) {
            connect(exchange);
        } else if (refusal != null) {
            exchange.failNotSent(HttpStep.POOL, refusal, null);
        }
    }

    private PooledConnection takeIdle(HttpExchange exchange, List<PooledConnection> unusable) {
        long now = timers.nowMillis();
        while (!idle.isEmpty()) {
            PooledConnection next = idle.pollFirst();
            if (!next.isRemoved() && isUsable(next, exchange, now)) {
                return next;
            }
            if (next.markRemoved()) {
                slotsUsed--;
                unusable.add(next);
            }
        }
        return null;
    }

    private boolean isUsable(PooledConnection next, HttpExchange exchange, long now) {
        long idleForMillis = now - next.idleSinceMillis();
        return !exchange.needsNewConnection()
                && idleForMillis < settings.idleMillis()
                && (exchange.isRepeatable() || idleForMillis < settings.nonRepeatableIdleMillis())
                && !next.isStale();
    }

    /** Removes an exchange that ended while it was queued. */
    synchronized void removeWaiting(HttpExchange exchange) {
        waiting.remove(exchange);
    }

    /** Returns a connection to the pool after its exchange is complete. */
    void release(PooledConnection connection) {
        boolean discard;
        synchronized (this) {
            discard = closed || !connection.connection().isOpen();
            if (!discard && !connection.isRemoved()) {
                connection.idleSinceMillis(timers.nowMillis());
                idle.addFirst(connection);
            }
        }
        if (discard) {
            discard(connection);
            return;
        }
        scheduleExpiry();
        serveNext();
    }

    /** Closes a connection and frees its slot. */
    void discard(PooledConnection connection) {
        synchronized (this) {
            if (connection.markRemoved()) {
                slotsUsed--;
            }
            idle.remove(connection);
        }
        // A close would write first what is left of a request.
        connection.connection().terminateSilently();
        timers.execute(this::serveNext);
    }

    /** Keeps one expiry timer for the whole pool; one per release would add up to many thousands of timers. */
    private void scheduleExpiry() {
        long atMillis;
        synchronized (this) {
            if (expiryScheduled || idle.isEmpty()) {
                return;
            }
            expiryScheduled = true;
            atMillis = idle.getLast().idleSinceMillis() + settings.idleMillis();
        }
        timers.scheduleAt(atMillis, this::closeExpired);
    }

    private void closeExpired() {
        List<PooledConnection> expired = new ArrayList<>();
        synchronized (this) {
            expiryScheduled = false;
            long now = timers.nowMillis();
            for (Iterator<PooledConnection> each = idle.iterator(); each.hasNext(); ) {
                PooledConnection next = each.next();
                if (now - next.idleSinceMillis() >= settings.idleMillis()) {
                    each.remove();
                    expired.add(next);
                }
            }
        }
        expired.forEach(this::discard);
        scheduleExpiry();
    }

    /** Lets the longest-waiting exchange acquire again if a connection or a slot is free. */
    private void serveNext() {
        HttpExchange next;
        synchronized (this) {
            if (waiting.isEmpty() || idle.isEmpty() && slotsUsed >= settings.maxConnections()) {
                return;
            }
            next = waiting.iterator().next();
            waiting.remove(next);
        }
        if (next.isEnded()) {
            timers.execute(this::serveNext);
            return;
        }
        acquire(next);
    }

    private void connect(HttpExchange exchange) {
        exchange.atStep(HttpStep.CONNECT);
        ConnectAttempt attempt = new ConnectAttempt(exchange);
        attempt.start();
    }

    int maxHeadBytes() {
        return settings.maxHeadBytes();
    }

    synchronized int idleCount() {
        return idle.size();
    }

    synchronized int slotsUsed() {
        return slotsUsed;
    }

    void close() {
        List<PooledConnection> all;
        synchronized (this) {
            closed = true;
            all = new ArrayList<>(idle);
        }
        all.forEach(this::discard);
    }

    /** One attempt to open a connection, with its timeout. */
    private final class ConnectAttempt extends EmptyCompletionHandler<Connection<?>> {

        private final HttpExchange exchange;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final Timers.Timer timeout;
        private volatile Future<?> opening;

        private ConnectAttempt(HttpExchange exchange) {
            this.exchange = exchange;
            this.timeout = timers.scheduleAt(timers.nowMillis() + settings.connectTimeoutMillis(), this::expire);
        }

        @SuppressWarnings({"unchecked", "rawtypes"})
        private void start() {
            try {
                GrizzlyFuture<Connection> future = connector.connect(new InetSocketAddress(peer.ip(), peer.port()));
                opening = future;
                future.addCompletionHandler((EmptyCompletionHandler) this);
            } catch (RuntimeException e) {
                failed(e);
            }
        }

        @Override
        public void completed(Connection<?> connection) {
            if (!ended.compareAndSet(false, true)) {
                connection.closeSilently();
                return;
            }
            timeout.cancel();
            PooledConnection opened = new PooledConnection(ConnectionPool.this, connection);
            if (!connection.isOpen()) {
                discard(opened);
                exchange.failNotSent(HttpStep.CONNECT, "the peer closed the new connection at once", null);
                return;
            }
            exchange.onConnection(opened);
        }

        @Override
        public void failed(Throwable cause) {
            end("the connection was not opened: " + cause, cause);
        }

        @Override
        public void cancelled() {
            end("the opening of the connection was cancelled", null);
        }

        private void expire() {
            end("the connection was not open after " + settings.connectTimeoutMillis() + " ms", null);
            Future<?> current = opening;
            if (current != null) {
                current.cancel(true);
            }
        }

        private void end(String reason, Throwable cause) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            timeout.cancel();
            synchronized (ConnectionPool.this) {
                slotsUsed--;
            }
            exchange.failNotSent(HttpStep.CONNECT, reason, cause);
            timers.execute(ConnectionPool.this::serveNext);
        }
    }
}
