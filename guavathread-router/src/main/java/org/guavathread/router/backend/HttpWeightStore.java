package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

import com.fasterxml.jackson.databind.JsonNode;

/** The weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {

    private final JsonCalls calls;

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the store
     */
    public HttpWeightStore(HttpClient client, SocketAddressText address) {
        this.calls = new JsonCalls(client, address);
    }

    @Override
    public CompletableFuture<WeightStoreStatus> status(long deadlineMillis) {
        HttpRequest.Builder request = HttpRequest.get("/weights").deadlineMillis(deadlineMillis);
        return calls.call("weight store status", request, response -> {
            JsonNode node = JsonFields.parse(response.body());
            return new WeightStoreStatus(
                    JsonFields.longInteger(node, "bytesPerSecond"), JsonFields.integer(node, "activeReads"));
        });
    }

    @Override
    public CompletableFuture<Optional<Long>> size(String name, long deadlineMillis) {
        HttpRequest.Builder request = HttpRequest.get("/weights/" + HttpEngine.encoded(name) + "/info")
                .deadlineMillis(deadlineMillis);
        return calls.call(
                "weights size",
                request,
                response -> response.status() == 404
                        ? Optional.empty()
                        : Optional.of(JsonFields.longInteger(JsonFields.parse(response.body()), "bytes")),
                404);
    }
}
