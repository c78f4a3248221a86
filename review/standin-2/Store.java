import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store: items, one revision, and watches. */
final class Store {

    private record Event(long revision, String json) {}

    private final HttpServer server;
    private final Consumer<String> record;
    private final TreeMap<String, String> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    /** Calls with this number or a lower one came on channels that have gone silent. */
    private long silentUpTo = -1;
    private long calls;

    Store(Consumer<String> record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/guavathread/kv-range", this::range);
        server.createContext("/guavathread/kv-watch", this::watch);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized void put(String key, String value) {
        revision++;
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        String item = "{\"key\":\"" + key + "\",\"value\":\"" + encoded + "\",\"revision\":" + revision
                + ",\"created\":" + revision + ",\"lease\":0}";
        items.put(key, item);
        history.add(new Event(revision, item));
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        items.remove(key);
        history.add(new Event(revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"));
        notifyAll();
    }

    /** All channels that are open now go silent for good, without a reset; new ones work. */
    synchronized void silenceOpenChannels() {
        silentUpTo = calls;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized long begin(String call) {
        record.accept("store: call " + (calls + 1) + ", " + call);
        return ++calls;
    }

    private void range(HttpExchange exchange) throws IOException {
        long call = begin("listing");
        String reply;
        synchronized (this) {
            String after = query(exchange).getOrDefault("after", "");
            reply = "{\"items\":[" + String.join(",", items.tailMap(after, false).values())
                    + "],\"has_more\":false,\"at\":" + revision + "}";
        }
        write(call, exchange, reply);
    }

    private void watch(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long after = Long.parseLong(query.get("after"));
        long waitMillis = Long.parseLong(query.get("wait_ms"));
        long call = begin("watch after " + after + " for " + waitMillis + " ms");
        long until = System.currentTimeMillis() + waitMillis;
        String reply;
        synchronized (this) {
            while (revision == after && System.currentTimeMillis() < until) {
                try {
                    wait(Math.max(1, until - System.currentTimeMillis()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            List<String> events = history.stream()
                    .filter(e -> e.revision() > after)
                    .map(Event::json)
                    .toList();
            reply = "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
        }
        write(call, exchange, reply);
    }

    private void write(long call, HttpExchange exchange, String reply) throws IOException {
        synchronized (this) {
            if (call <= silentUpTo) {
                // Nothing more passes on this channel; it stays open.
                return;
            }
        }
        byte[] body = reply.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
