package org.guavathread.router.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from sockets and records whether the peer closed the connection in an orderly way. Grizzly's own transport
 * filter reports a reset as an end of stream, so a body delimited by the close of the connection could not be told
 * from a truncated one.
 */
final class CloseDetectingTransportFilter extends TransportFilter {

    /** Maximum number of bytes per read. */
    private static final int READ_BYTES = 16 * 1024;

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        PooledConnection pooled = PooledConnection.of(ctx.getConnection());
        ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
        int read;
        try {
            read = ((SocketChannel) ((NIOConnection) ctx.getConnection()).getChannel()).read(bytes);
        } catch (IOException e) {
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        if (read < 0) {
            if (pooled != null) {
                pooled.markClosedOrderly();
            }
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        if (read == 0) {
            return ctx.getStopAction();
        }
        bytes.flip();
        HttpExchange exchange = pooled == null ? null : pooled.exchange();
        if (exchange == null || pooled.answer().isComplete()) {
            // The bytes belong to no request; the codec would take them for the beginning of the next answer.
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        ByteBuffer checked;
        try {
            checked = pooled.answer().accept(bytes.array(), bytes.limit());
        } catch (MalformedMessageException e) {
            exchange.fail("the answer is malformed: " + e.getMessage(), e);
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        if (!checked.hasRemaining()) {
            return ctx.getStopAction();
        }
        ctx.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, checked));
        return ctx.getInvokeAction();
    }
}
