package org.guavathread.router.backend;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A prefill engine that speaks JSON over HTTP. */
public final class HttpPrefillEngine extends HttpEngine implements PrefillEngine {

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the engine
     * @param self the owner of the requests that the adapter sends
     */
    public HttpPrefillEngine(HttpClient client, SocketAddressText address, Owner self) {
        super(client, address, self);
    }

    @Override
    public CompletableFuture<PrefillResult> prefill(PrefillRequest request) {
        ObjectNode body = JsonFields.object()
                .put("requestId", request.requestId().value())
                .put("model", request.model().value())
                .put("prompt", request.prompt())
                .put("promptTokens", request.promptTokens())
                .put("priority", request.priority());
        ArrayNode hashes = body.putArray("prefixHashes");
        request.prefixHashes().forEach(hashes::add);
        HttpRequest.Builder post = post("/engine/prefill", body, request.deadlineMillis());
        return calls().callFor(request.requestId(), "prefill", post, response -> {
            JsonNode node = JsonFields.parse(response.body());
            return new PrefillResult(
                    JsonFields.text(node, "handle"),
                    JsonFields.integer(node, "promptTokens"),
                    JsonFields.integer(node, "cachedTokens"),
                    JsonFields.longInteger(node, "kvBytes"));
        });
    }

    @Override
    public CompletableFuture<KvExport> export(RequestId requestId, String handle, long deadlineMillis) {
        ObjectNode body =
                JsonFields.object().put("requestId", requestId.value()).put("handle", handle);
        HttpRequest.Builder post = post("/engine/export", body, deadlineMillis);
        return calls().callFor(requestId, "export", post, response -> {
            JsonNode node = JsonFields.parse(response.body());
            return new KvExport(requestId, handle, JsonFields.longInteger(node, "kvBytes"));
        });
    }

    @Override
    public CompletableFuture<List<PrefixEvent>> prefixEvents(long after, long deadlineMillis) {
        HttpRequest.Builder request = get("/engine/events?after=" + after, deadlineMillis);
        return calls().call(
                        "prefix events",
                        request,
                        response -> JsonFields.list(JsonFields.parse(response.body()), HttpPrefillEngine::prefixEvent));
    }

    private static PrefixEvent prefixEvent(JsonNode node) {
        return new PrefixEvent(
                JsonFields.longInteger(node, "sequence"),
                JsonFields.bool(node, "stored"),
                JsonFields.longInteger(node, "prefixHash"));
    }
}
