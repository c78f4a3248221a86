package org.guavathread.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Fake admin port of a host: returns a fixed answer for each path, or never answers. */
final class FakeAdmin implements AutoCloseable {

    private final HttpServer server;
    private final Map<String, String> pages = new ConcurrentHashMap<>();
    private final List<String> requestedUris = new CopyOnWriteArrayList<>();
    private volatile boolean unresponsive;

    FakeAdmin() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::answer);
        server.start();
    }

    FakeAdmin page(String path, String body) {
        pages.put(path, body);
        return this;
    }

    FakeAdmin unresponsive() {
        unresponsive = true;
        return this;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    List<String> requestedUris() {
        return requestedUris;
    }

    private void answer(HttpExchange exchange) throws IOException {
        requestedUris.add(exchange.getRequestURI().toString());
        if (unresponsive) {
            return;
        }
        String body = pages.get(exchange.getRequestURI().getPath());
        byte[] bytes = (body == null ? "{\"error\":\"No such page.\"}" : body).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(body == null ? 404 : 200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
