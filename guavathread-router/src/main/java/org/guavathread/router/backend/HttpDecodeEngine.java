package org.guavathread.router.backend;

import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A decode engine that speaks JSON and server-sent events over HTTP. */
public final class HttpDecodeEngine extends HttpEngine implements DecodeEngine {

    // Bounds the response by the number of requested tokens; 512 bytes per token include the enclosing event.
    private static final long MAX_BYTES_PER_TOKEN = 512;
    private static final long BASE_STREAM_BYTES = 64 * 1024;

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the engine
     * @param self the owner of the requests that the adapter sends
     */
    public HttpDecodeEngine(HttpClient client, SocketAddressText address, Owner self) {
        super(client, address, self);
    }

    @Override
    public CompletableFuture<ReserveResult> reserve(RequestId requestId, int pieces, long deadlineMillis) {
        ObjectNode body =
                JsonFields.object().put("requestId", requestId.value()).put("pieces", pieces);
        return calls().callFor(
                        requestId,
                        "reserve",
                        post("/engine/reserve", body, deadlineMillis),
                        response ->
                                response.status() == 409 ? ReserveResult.INSUFFICIENT_MEMORY : ReserveResult.RESERVED,
                        409);
    }

    @Override
    public CompletableFuture<Void> importKv(
            RequestId requestId, SocketAddressText from, String handle, long deadlineMillis) {
        ObjectNode body = JsonFields.object()
                .put("requestId", requestId.value())
                .put("from", from.toString())
                .put("handle", handle);
        return calls().callFor(requestId, "import", post("/engine/import", body, deadlineMillis), response -> null);
    }

    @Override
    public TokenStream decode(DecodeRequest request, TokenListener listener) {
        ObjectNode body = JsonFields.object()
                .put("requestId", request.requestId().value())
                .put("offset", request.offset())
                .put("maxTokens", request.maxTokens());
        HttpRequest post = post("/engine/decode", body, request.deadlineMillis())
                .header(JsonCalls.REQUEST_ID, request.requestId().value())
                .inactivityTimeoutMillis(request.inactivityTimeoutMillis())
                .maxResponseBytes(BASE_STREAM_BYTES + MAX_BYTES_PER_TOKEN * request.maxTokens())
                .build();
        TokenReader reader = new TokenReader(calls().peer(), request, listener);
        HttpCall call = calls().client().stream(calls().peer(), post, reader);
        reader.onStarted(call);
        return call::cancel;
    }
}
