package org.guavathread.router.backend;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

import com.fasterxml.jackson.databind.JsonNode;

/** The platform's host list over HTTP. */
public final class HttpHostListSource implements HostListSource {

    private static final Set<String> STATES = Set.of("live", "leaving");

    private final JsonCalls calls;

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the host list service
     */
    public HttpHostListSource(HttpClient client, SocketAddressText address) {
        this.calls = new JsonCalls(client, address);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts(long deadlineMillis) {
        HttpRequest.Builder request = HttpRequest.get("/hosts").deadlineMillis(deadlineMillis);
        return calls.call(
                "read host list",
                request,
                response -> JsonFields.list(JsonFields.parse(response.body()), HttpHostListSource::listedHost));
    }

    private static ListedHost listedHost(JsonNode node) {
        String state = JsonFields.text(node, "state");
        if (!STATES.contains(state)) {
            throw new IllegalArgumentException("field state is \"" + state + "\", expected one of " + STATES);
        }
        return new ListedHost(
                new HostId(JsonFields.text(node, "id")),
                "leaving".equals(state),
                SocketAddressText.parse(JsonFields.text(node, "address")));
    }
}
