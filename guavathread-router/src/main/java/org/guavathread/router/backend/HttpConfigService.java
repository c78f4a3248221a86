package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/** The configuration service over HTTP. */
public final class HttpConfigService implements ConfigService {

    // The configuration service limits values to 1 MB.
    private static final long MAX_VALUE_BYTES = 1024 * 1024;
    private static final String VERSION_HEADER = "Config-Version";

    private final JsonCalls calls;

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the service
     */
    public HttpConfigService(HttpClient client, SocketAddressText address) {
        this.calls = new JsonCalls(client, address);
    }

    @Override
    public CompletableFuture<Optional<ConfigValue>> read(String name, long deadlineMillis) {
        return get(name, "", deadlineMillis);
    }

    @Override
    public CompletableFuture<Optional<ConfigValue>> watch(
            String name, long after, long waitMillis, long deadlineMillis) {
        return get(name, "?after=" + after + "&wait=" + waitMillis, deadlineMillis);
    }

    private CompletableFuture<Optional<ConfigValue>> get(String name, String query, long deadlineMillis) {
        // The slash in names such as sheet/1 is not percent-encoded.
        String path = "/config/" + HttpEngine.encoded(name).replace("%2F", "/") + query;
        HttpRequest.Builder request =
                HttpRequest.get(path).maxResponseBytes(MAX_VALUE_BYTES).deadlineMillis(deadlineMillis);
        return calls.call("read configuration", request, response -> valueOf(name, response), 404);
    }

    private static Optional<ConfigValue> valueOf(String name, HttpResponse response) {
        if (response.status() == 204 || response.status() == 404) {
            return Optional.empty();
        }
        String version = response.head().header(VERSION_HEADER).orElse("");
        if (!version.matches("[0-9]{1,18}")) {
            throw new IllegalArgumentException(
                    "its header " + VERSION_HEADER + " is \"" + version + "\", not an integer");
        }
        return Optional.of(new ConfigValue(name, Long.parseLong(version), response.body()));
    }
}
