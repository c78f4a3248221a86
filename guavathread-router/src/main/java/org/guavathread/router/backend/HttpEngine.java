package org.guavathread.router.backend;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The part of the engine protocol that prefill and decode engines share. */
abstract class HttpEngine implements Engine {

    private final JsonCalls calls;
    private final Owner self;

    HttpEngine(HttpClient client, SocketAddressText address, Owner self) {
        this.calls = new JsonCalls(client, address);
        this.self = self;
    }

    final JsonCalls calls() {
        return calls;
    }

    /** Creates a POST request that names the owner in its body and in its headers. */
    final HttpRequest.Builder post(String path, ObjectNode body, long deadlineMillis) {
        body.putObject("owner")
                .put("host", self.host().value())
                .put("incarnation", self.incarnation().startedAtMillis());
        return withOwner(HttpRequest.post(path)).json(body.toString()).deadlineMillis(deadlineMillis);
    }

    final HttpRequest.Builder get(String path, long deadlineMillis) {
        return withOwner(HttpRequest.get(path)).deadlineMillis(deadlineMillis);
    }

    private HttpRequest.Builder withOwner(HttpRequest.Builder request) {
        return request.header("Guavathread-Owner-Host", self.host().value())
                .header(
                        "Guavathread-Owner-Incarnation",
                        Long.toString(self.incarnation().startedAtMillis()));
    }

    static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public CompletableFuture<Void> cancel(RequestId requestId, long deadlineMillis) {
        HttpRequest.Builder request = withOwner(HttpRequest.delete("/engine/requests/" + encoded(requestId.value())))
                .deadlineMillis(deadlineMillis);
        return calls.callFor(requestId, "cancel", request, response -> null, 404);
    }

    @Override
    public CompletableFuture<List<EngineRequest>> list(HostId host, long deadlineMillis) {
        return list("/engine/requests?host=" + encoded(host.value()), deadlineMillis);
    }

    @Override
    public CompletableFuture<List<EngineRequest>> listAll(long deadlineMillis) {
        return list("/engine/requests", deadlineMillis);
    }

    private CompletableFuture<List<EngineRequest>> list(String path, long deadlineMillis) {
        return calls.call(
                "list",
                get(path, deadlineMillis),
                response -> JsonFields.list(JsonFields.parse(response.body()), HttpEngine::engineRequest));
    }

    private static EngineRequest engineRequest(JsonNode node) {
        JsonNode owner = node.path("owner");
        return new EngineRequest(
                new RequestId(JsonFields.text(node, "requestId")),
                new Owner(
                        new HostId(JsonFields.text(owner, "host")),
                        new Incarnation(JsonFields.longInteger(owner, "incarnation"))),
                JsonFields.text(node, "state"),
                JsonFields.integer(node, "pieces"));
    }

    @Override
    public CompletableFuture<EngineLoad> load(long deadlineMillis) {
        return calls.call("load", get("/engine/load", deadlineMillis), response -> {
            JsonNode node = JsonFields.parse(response.body());
            return new EngineLoad(
                    JsonFields.integer(node, "memoryPieces"),
                    JsonFields.integer(node, "usedPieces"),
                    JsonFields.longInteger(node, "queueTokens"),
                    JsonFields.integer(node, "running"),
                    JsonFields.longInteger(node, "ageMillis"),
                    JsonFields.longInteger(node, "fencing"),
                    JsonFields.list(node.path("models"), model -> new ModelId(model.asText())),
                    versions(node.path("versions")),
                    EngineRole.ofWireName(JsonFields.text(node, "role")));
        });
    }

    private static Map<ModelId, String> versions(JsonNode node) {
        Map<ModelId, String> versions = new HashMap<>();
        node.fields()
                .forEachRemaining(field -> versions.put(
                        new ModelId(field.getKey()), field.getValue().asText()));
        return versions;
    }

    @Override
    public CompletableFuture<OrderResult> order(EngineOrder order) {
        ObjectNode body = JsonFields.object()
                .put("fencing", order.fencing())
                .put("action", order.action().wireName());
        order.model().ifPresent(model -> body.put("model", model.value()));
        order.version().ifPresent(version -> body.put("version", version));
        order.role().ifPresent(role -> body.put("role", role.wireName()));
        HttpRequest.Builder request =
                post("/engine/orders", body, order.deadlineMillis()).sendDeadlineMillis(order.sendDeadlineMillis());
        return calls.call(
                "order",
                request.nonRepeatable(),
                response -> response.status() == 412 ? OrderResult.OLD_FENCING_NUMBER : OrderResult.ACCEPTED,
                412);
    }
}
