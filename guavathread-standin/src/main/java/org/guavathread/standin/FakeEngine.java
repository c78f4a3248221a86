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

/** The common part of prefill and decode engines: held requests, cancel, list, delayed load reports, and orders. */
public abstract class FakeEngine extends Standin {

    // By default, the client offers an upgrade to HTTP/2, after which Grizzly does not find the end of the body.
    static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final EngineSettings settings;
    private final Map<String, HeldRequest> held = new LinkedHashMap<>();
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
     * @param model the model, or an empty string
     * @param version the version, or an empty string
     * @param role the role, or an empty string
     */
    public record Order(long fencing, String action, String model, String version, String role) {}

    /** A request that the engine holds; guarded by the lock of the engine. */
    static final class HeldRequest {
        private final String requestId;
        private final String host;
        private final long incarnation;
        private String state;
        private int pieces;

        HeldRequest(String requestId, JsonNode owner, String state, int pieces) {
            this.requestId = requestId;
            this.host = owner.path("host").asText();
            this.incarnation = owner.path("incarnation").asLong();
            this.state = state;
            this.pieces = pieces;
        }
    }

    private record Report(long atMillis, ObjectNode load) {}

    /** Handles an endpoint that only this kind of engine has; returns false if the path is unknown. */
    abstract boolean runSpecific(Call call) throws IOException;

    /** Returns the number of prompt tokens that are queued or in prefill. Called with the lock of the engine held. */
    abstract long queueTokens();

    /** Discards the state of a cancelled request. Called with the lock of the engine held. */
    abstract void onCancel(String requestId);

    /** Clears the state that only this kind of engine has. Called with the lock of the engine held. */
    abstract void clearSpecificState();

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
        } else if (!runSpecific(call)) {
            call.answer(404);
        }
    }

    final synchronized void hold(String requestId, JsonNode owner, String state, int pieces) {
        held.put(requestId, new HeldRequest(requestId, owner, state, pieces));
        peakPieces = Math.max(peakPieces, usedPieces());
        recordLoad();
    }

    final synchronized boolean isHeld(String requestId) {
        return held.containsKey(requestId);
    }

    final synchronized void state(String requestId, String state) {
        HeldRequest request = held.get(requestId);
        if (request != null) {
            request.state = state;
        }
    }

    final synchronized void release(String requestId) {
        held.remove(requestId);
        recordLoad();
    }

    final synchronized boolean hasModel(String model) {
        return models.contains(model);
    }

    private synchronized boolean cancel(String requestId) {
        onCancel(requestId);
        boolean known = held.remove(requestId) != null;
        recordLoad();
        return known;
    }

    private synchronized ArrayNode list(String host) {
        ArrayNode list = Call.MAPPER.createArrayNode();
        for (HeldRequest request : held.values()) {
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

    /** Records the current load for delayed load reports. */
    final synchronized void recordLoad() {
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
        recordLoad();
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
        execute(order);
        call.answer(200);
    }

    private void execute(Order order) {
        switch (order.action()) {
            case "load_model" -> loadWeights(order);
            case "unload_model" -> changeModels(order, false);
            case "change_role" -> changeRole(order.role());
            default -> recordLoad();
        }
    }

    private void loadWeights(Order order) {
        if (settings.weightStore().isEmpty()) {
            changeModels(order, true);
            return;
        }
        String name = order.model() + "-" + order.version();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + settings.weightStore() + "/weights/" + name))
                .build();
        HTTP.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenAccept(response -> {
            if (response.statusCode() == 200) {
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
        recordLoad();
    }

    private synchronized void changeRole(String newRole) {
        role = newRole;
        recordLoad();
    }

    final synchronized int freePieces() {
        return settings.memoryPieces() - usedPieces();
    }

    /**
     * Counts the decode memory pieces in use.
     *
     * @return the count, not delayed by the load lag
     */
    public final synchronized int usedPieces() {
        return held.values().stream().mapToInt(request -> request.pieces).sum();
    }

    /**
     * Returns the largest number of pieces that were in use at the same time.
     *
     * @return the number
     */
    public final synchronized int peakPieces() {
        return peakPieces;
    }

    /**
     * Returns the requests that the engine holds.
     *
     * @return their request IDs
     */
    public final synchronized Set<String> heldRequests() {
        return new TreeSet<>(held.keySet());
    }

    /**
     * Returns the orders that the engine carried out.
     *
     * @return the orders, oldest first
     */
    public final synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns the models that are loaded.
     *
     * @return their names, not delayed by the load lag
     */
    public final synchronized Set<String> models() {
        return new TreeSet<>(models);
    }

    /**
     * Returns the role.
     *
     * @return {@code "prefill"} or {@code "decode"}, not delayed by the load lag
     */
    public final synchronized String role() {
        return role;
    }

    @Override
    final synchronized void clearState() {
        clearSpecificState();
        held.clear();
        reports.clear();
        fencing = 0;
        models.clear();
        models.addAll(settings.models());
    }
}
