package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/** The configuration service over HTTP. */
public final class HttpConfigService implements ConfigService {

    // The service holds values of at most 1 MB.
    private static final long MAX_VALUE_BYTES = 1024 * 1024;
    private static final String VERSION = "Config-Version";

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
        // Names such as sheet/1 keep their slash.
        String path = "/config/" + HttpEngine.encoded(name).replace("%2F", "/") + query;
        HttpRequest.Builder request =
                HttpRequest.get(path).maxResponseBytes(MAX_VALUE_BYTES).deadlineMillis(deadlineMillis);
        return calls.call("read configuration", request, answer -> valueOf(name, answer), 404);
    }

    private static Optional<ConfigValue> valueOf(String name, HttpResponse answer) {
        if (answer.status() == 204 || answer.status() == 404) {
            return Optional.empty();
        }
        String version = answer.head().header(VERSION).orElse("");
        if (!version.matches("[0-9]{1,18}")) {
            throw new IllegalArgumentException("its header " + VERSION + " is \"" + version + "\", not a whole number");
        }
        return Optional.of(new ConfigValue(name, Long.parseLong(version), answer.body()));
    }
}
