package org.guavathread.router.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/** A connection of the pool; carries one exchange at a time. */
final class PooledConnection {

    private static final Attribute<PooledConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(PooledConnection.class.getName());

    private final ConnectionPool pool;
    private final Connection<?> connection;
    private final AtomicBoolean removed = new AtomicBoolean();
    private volatile HttpExchange exchange;
    private volatile long writtenBytes;
    private volatile long idleSinceMillis;
    private volatile boolean used;
    private volatile boolean closedOrderly;
    private volatile int writes;
    private volatile long writtenBytesAtEnd;
    private volatile AnswerReader answer;

    PooledConnection(ConnectionPool pool, Connection<?> connection) {
        this.pool = pool;
        this.connection = connection;
        connection.getMonitoringConfig().addProbes(new WriteCounter());
        ATTRIBUTE.set(connection, this);
    }

    static PooledConnection of(Connection<?> connection) {
        return ATTRIBUTE.get(connection);
    }

    Connection<?> connection() {
        return connection;
    }

    ConnectionPool pool() {
        return pool;
    }

    HttpExchange exchange() {
        return exchange;
    }

    void bind(HttpExchange next) {
        writtenBytes = 0;
        writes = 0;
        answer = new AnswerReader(pool.maxHeadBytes());
        exchange = next;
    }

    void unbind() {
        exchange = null;
        used = true;
    }

    /** Tells whether the connection has carried an earlier exchange. */
    boolean isUsed() {
        return used;
    }

    /** Returns how many bytes of the bound exchange the operating system has accepted. */
    long writtenBytes() {
        return writtenBytes;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    void idleSinceMillis(long nowMillis) {
        this.idleSinceMillis = nowMillis;
    }

    /**
     * Checks by a read from the socket whether the peer has closed this idle connection or has sent bytes that no request
     * asked for. Grizzly notices a close only when its selector thread runs.
     */
    boolean isStale() {
        if (!connection.isOpen()) {
            return true;
        }
        try {
            SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
            return channel.read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Records that the peer closed the connection without a reset. */
    void markClosedOrderly() {
        writtenBytesAtEnd = writtenBytes;
        closedOrderly = true;
    }

    /** Tells whether the peer closed the connection without a reset. */
    boolean wasClosedOrderly() {
        return closedOrderly;
    }

    /**
     * Tells whether all that has been written was written before the peer's orderly close was seen. What left in a single
     * write was: its count may be reported late, but the peer answered it.
     */
    boolean wasWrittenBeforeClose() {
        return writes <= 1 || writtenBytesAtEnd == writtenBytes;
    }

    /** Returns what reads the answer of the exchange that was bound last. */
    AnswerReader answer() {
        return answer;
    }

    /** Marks the connection as removed from the pool; returns false if it already was. */
    boolean markRemoved() {
        return removed.compareAndSet(false, true);
    }

    boolean isRemoved() {
        return removed.get();
    }

    /** Counts the bytes after each successful socket write. The operating system accepts nothing from a failed write. */
    private final class WriteCounter extends ConnectionProbe.Adapter {

        @Override
        @SuppressWarnings("rawtypes")
        public void onWriteEvent(Connection source, Buffer buffer, long size) {
            if (size > 0) {
                writtenBytes += size;
                writes++;
            }
        }
    }
}
