package org.guavathread.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** What prefill and decode engines have in common: held requests, cancel, list, load with a lag, and orders. */
public abstract class FakeEngine extends Standin {

    // The default version offers an upgrade to HTTP/2, after which Grizzly cannot find the end of the body.
    static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final EngineSettings settings;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Set<String> models = new TreeSet<>();
    private final Map<String, String> versions = new TreeMap<>();
    private final Deque<Report> reports = new ArrayDeque<>();
    private final List<Order> orders = new ArrayList<>();
    private String role;
    private long fencing;
    private int peakPieces;

    FakeEngine(int port, String role, EngineSettings settings) {
        super(port);
        this.role = role;
        this.settings = settings;
        this.models.addAll(settings.models());
        this.fencing = settings.startFencing();
    }

    /**
     * An order that the engine carried out.
     *
     * @param fencing its fencing number
     * @param action its action
     * @param model the model, or the empty text
     * @param version the version, or the empty text
     * @param role the role, or the empty text
     */
    public record Order(long fencing, String action, String model, String version, String role) {}

    /** A request that the engine holds; its fields change under the lock of the engine. */
    static final class Held {
        private final String requestId;
        private final String host;
        private final long incarnation;
        private String state;
        private int pieces;

        Held(String requestId, JsonNode owner, String state, int pieces) {
            this.requestId = requestId;
            this.host = owner.path("host").asText();
            this.incarnation = owner.path("incarnation").asLong();
            this.state = state;
            this.pieces = pieces;
        }
    }

    private record Report(long atMillis, ObjectNode load) {}

    /** Runs what only one kind of engine knows; returns false if the path is unknown. */
    abstract boolean runOwn(Call call) throws IOException;

    /** Tells how many prompt tokens wait. Called under the lock of the engine. */
    abstract long queueTokens();

    /** Ends what belongs to a cancelled request. Called under the lock of the engine. */
    abstract void onCancel(String requestId);

    /** Forgets what only one kind of engine knows. Called under the lock of the engine. */
    abstract void forgetOwn();

    @Override
    final void run(Call call) throws IOException {
        if (call.is("GET /engine/load")) {
            call.answer(200, load());
        } else if (call.is("GET /engine/requests")) {
            call.answer(200, list(call.query("host", "")));
        } else if (call.startsWith("DELETE /engine/requests/")) {
            call.answer(cancel(call.pathAfter("/engine/requests/")) ? 200 : 404);
        } else if (call.is("POST /engine/orders")) {
            order(call);
        } else if (!runOwn(call)) {
            call.answer(404);
        }
    }

    final synchronized void hold(String requestId, JsonNode owner, String state, int pieces) {
        held.put(requestId, new Held(requestId, owner, state, pieces));
        peakPieces = Math.max(peakPieces, usedPieces());
        noteLoad();
    }

    final synchronized boolean isHeld(String requestId) {
        return held.containsKey(requestId);
    }

    final synchronized void state(String requestId, String state) {
        Held request = held.get(requestId);
        if (request != null) {
            request.state = state;
        }
    }

    final synchronized void release(String requestId) {
        held.remove(requestId);
        noteLoad();
    }

    final synchronized boolean hasModel(String model) {
        return models.contains(model);
    }

    private synchronized boolean cancel(String requestId) {
        onCancel(requestId);
        boolean known = held.remove(requestId) != null;
        noteLoad();
        return known;
    }

    private synchronized ArrayNode list(String host) {
        ArrayNode list = Call.MAPPER.createArrayNode();
        for (Held request : held.values()) {
            if (host.isEmpty() || host.equals(request.host)) {
                ObjectNode node = list.addObject()
                        .put("requestId", request.requestId)
                        .put("state", request.state)
                        .put("pieces", request.pieces);
                node.putObject("owner").put("host", request.host).put("incarnation", request.incarnation);
            }
        }
        return list;
    }

    /** Records the load, so that a report with a lag can be given later. */
    final synchronized void noteLoad() {
        long now = nowMillis();
        ObjectNode load = Call.MAPPER
                .createObjectNode()
                .put("memoryPieces", settings.memoryPieces())
                .put("usedPieces", usedPieces())
                .put("queueTokens", queueTokens())
                .put("running", held.size())
                .put("fencing", fencing)
                .put("role", role);
        ArrayNode names = load.putArray("models");
        models.forEach(names::add);
        ObjectNode loaded = load.putObject("versions");
        versions.forEach(loaded::put);
        reports.addLast(new Report(now, load));
        while (reports.size() > 1 && secondReport().atMillis() <= now - settings.loadLagMillis()) {
            reports.removeFirst();
        }
    }

    private Report secondReport() {
        return reports.stream().skip(1).findFirst().orElseThrow();
    }

    private synchronized ObjectNode load() {
        noteLoad();
        return reports.getFirst().load().deepCopy().put("ageMillis", settings.loadLagMillis());
    }

    private void order(Call call) throws IOException {
        JsonNode body = call.json();
        Order order = new Order(
                body.path("fencing").asLong(),
                body.path("action").asText(),
                body.path("model").asText(""),
                body.path("version").asText(""),
                body.path("role").asText(""));
        synchronized (this) {
            if (settings.checksOrders() && order.fencing() <= fencing) {
                call.answer(412, Call.MAPPER.createObjectNode().put("fencing", fencing));
                return;
            }
            fencing = Math.max(fencing, order.fencing());
            orders.add(order);
        }
        carryOut(order);
        call.answer(200);
    }

    private void carryOut(Order order) {
        switch (order.action()) {
            case "load_model" -> fetchWeights(order);
            case "unload_model" -> changeModels(order, false);
            case "change_role" -> changeRole(order.role());
            default -> noteLoad();
        }
    }

    private void fetchWeights(Order order) {
        if (settings.weightStore().isEmpty()) {
            changeModels(order, true);
            return;
        }
        String name = order.model() + "-" + order.version();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + settings.weightStore() + "/weights/" + name))
                .build();
        HTTP.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenAccept(answer -> {
            if (answer.statusCode() == 200) {
                changeModels(order, true);
            }
        });
    }

    private synchronized void changeModels(Order order, boolean add) {
        versions.remove(order.model());
        if (add) {
            models.add(order.model());
            versions.put(order.model(), order.version());
        } else {
            models.remove(order.model());
        }
        noteLoad();
    }

    private synchronized void changeRole(String next) {
        role = next;
        noteLoad();
    }

    final synchronized int freePieces() {
        return settings.memoryPieces() - usedPieces();
    }

    /**
     * Counts the decode memory pieces in use.
     *
     * @return the count, without a lag
     */
    public final synchronized int usedPieces() {
        return held.values().stream().mapToInt(request -> request.pieces).sum();
    }

    /**
     * Gives the greatest number of pieces that were in use together.
     *
     * @return the number
     */
    public final synchronized int peakPieces() {
        return peakPieces;
    }

    /**
     * Gives the requests that the engine holds.
     *
     * @return their ids
     */
    public final synchronized Set<String> heldRequests() {
        return new TreeSet<>(held.keySet());
    }

    /**
     * Gives the orders that were carried out.
     *
     * @return the orders in the order of their arrival
     */
    public final synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    /**
     * Gives the models that are loaded.
     *
     * @return their names, without a lag
     */
    public final synchronized Set<String> models() {
        return new TreeSet<>(models);
    }

    /**
     * Gives the role.
     *
     * @return {@code "prefill"} or {@code "decode"}, without a lag
     */
    public final synchronized String role() {
        return role;
    }

    @Override
    final synchronized void clearMemory() {
        forgetOwn();
        held.clear();
        reports.clear();
        fencing = 0;
        models.clear();
        models.addAll(settings.models());
    }
}
