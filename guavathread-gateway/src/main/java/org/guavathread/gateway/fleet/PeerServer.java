package org.guavathread.gateway.fleet;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.gateway.call.RelayProtocol;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.page.PageServer;
import org.tinylog.Logger;

/** Answers other hosts on the event loop's thread: pages, and requests to relay to backend servers. */
public final class PeerServer {

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_BUSY = 503;

    private final EventLoop loop;
    private final Map<String, Function<PageServer.Query, byte[]>> pages;
    private final BiConsumer<CallerExchange, BackendServerId> relay;

    /**
     * Creates the server's handler.
     *
     * @param loop runs the pages
     * @param pages computes the MessagePack body of each path; a query that cannot be read is an
     *     {@link IllegalArgumentException}
     * @param relay handles requests to relay
     */
    public PeerServer(
            EventLoop loop,
            Map<String, Function<PageServer.Query, byte[]>> pages,
            BiConsumer<CallerExchange, BackendServerId> relay) {
        this.loop = loop;
        this.pages = Map.copyOf(pages);
        this.relay = relay;
    }

    /**
     * Handles a request of another host; may be called on any thread.
     *
     * @param exchange the request
     */
    public void accept(CallerExchange exchange) {
        if (!loop.execute(() -> handle(exchange))) {
            exchange.answerAsync(STATUS_BUSY, Map.of(), new byte[0]);
        }
    }

    private void handle(CallerExchange exchange) {
        Optional<BackendServerId> server = RelayProtocol.serverOf(exchange.headers());
        if (server.isPresent()) {
            relay.accept(exchange, server.get());
            return;
        }
        Function<PageServer.Query, byte[]> page = pages.get(exchange.path());
        if (page == null) {
            exchange.answerAsync(STATUS_NOT_FOUND, Map.of(), new byte[0]);
            return;
        }
        try {
            byte[] body = page.apply(name -> parameter(exchange.query(), name));
            exchange.answerAsync(STATUS_OK, Map.of("Content-Type", "application/msgpack"), body);
        } catch (IllegalArgumentException e) {
            Logger.warn("The request {} of a host cannot be read: {}.", exchange.path(), e.getMessage());
            exchange.answerAsync(STATUS_BAD_REQUEST, Map.of(), new byte[0]);
        }
    }

    private static String parameter(String query, String name) {
        for (String pair : query.replaceFirst("^\\?", "").split("&")) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }
}
