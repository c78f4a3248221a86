package org.guavathread.router.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Passes parsed responses and connection closures to the exchange bound to the connection. */
final class ResponseFilter extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PooledConnection connection = PooledConnection.of(ctx.getConnection());
        HttpExchange exchange = connection == null ? null : connection.exchange();
        if (exchange == null) {
            // No request is in progress: the response belongs to none, so the connection must not be reused.
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        HttpPacket packet = ctx.getMessage();
        if (packet instanceof HttpContent content) {
            HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
            exchange.onPacket(connection, response, bytes(content.getContent()), content.isLast());
        } else {
            exchange.onPacket(connection, (HttpResponsePacket) packet, new byte[0], false);
        }
        return ctx.getStopAction();
    }

    private static byte[] bytes(Buffer buffer) {
        if (buffer == null) {
            return new byte[0];
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        closed(ctx, null);
        return ctx.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        closed(ctx, error);
        ctx.getConnection().closeSilently();
    }

    private static void closed(FilterChainContext ctx, Throwable error) {
        PooledConnection connection = PooledConnection.of(ctx.getConnection());
        if (connection == null) {
            return;
        }
        HttpExchange exchange = connection.exchange();
        connection.pool().discard(connection);
        if (exchange != null) {
            exchange.onClosed(connection, error);
        }
    }
}
