package org.guavathread.router.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;

/** Holds one adapter for each backend server of the sheet. Thread-safe. */
public final class BackendRegistry {

    private record Entry(BackendServer server, Object adapter) {}

    private final HttpClient client;
    private final Owner self;
    private final Map<BackendServerId, Entry> entries = new ConcurrentHashMap<>();

    /**
     * Builds an empty registry.
     *
     * @param client client for all requests
     * @param self host and incarnation sent as the owner of every engine request
     */
    public BackendRegistry(HttpClient client, Owner self) {
        this.client = client;
        this.self = self;
    }

    /**
     * Replaces the backend servers by those of a sheet. A server whose kind and address are unchanged keeps its
     * adapter.
     *
     * @param sheet the sheet
     */
    public void apply(Sheet sheet) {
        entries.keySet().retainAll(sheet.backendServers().keySet());
        for (BackendServer server : sheet.backendServers().values()) {
            entries.compute(server.id(), (id, old) -> {
                boolean same = old != null
                        && old.server().kind() == server.kind()
                        && old.server().address().equals(server.address());
                return new Entry(server, same ? old.adapter() : adapterOf(server));
            });
        }
    }

    /**
     * Finds a prefill engine.
     *
     * @param id its name
     * @return its adapter, or empty if the sheet lists no prefill engine of this name
     */
    public Optional<PrefillEngine> prefill(BackendServerId id) {
        return find(id, PrefillEngine.class);
    }

    /**
     * Finds a decode engine.
     *
     * @param id its name
     * @return its adapter, or empty if the sheet lists no decode engine of this name
     */
    public Optional<DecodeEngine> decode(BackendServerId id) {
        return find(id, DecodeEngine.class);
    }

    /**
     * Finds an engine of either kind.
     *
     * @param id its name
     * @return its adapter, or empty if the sheet lists no engine of this name
     */
    public Optional<Engine> engine(BackendServerId id) {
        return find(id, Engine.class);
    }

    /**
     * Finds a plain service.
     *
     * @param id its name
     * @return its adapter, or empty if the sheet lists no plain service of this name
     */
    public Optional<PlainService> service(BackendServerId id) {
        return find(id, PlainService.class);
    }

    /**
     * Finds the address of a backend server.
     *
     * @param id its name
     * @return the address, or empty if the sheet does not list it
     */
    public Optional<SocketAddressText> addressOf(BackendServerId id) {
        return Optional.ofNullable(entries.get(id)).map(e -> e.server().address());
    }

    /**
     * Probes a backend server with a new request, to distinguish a crash from a broken connection.
     *
     * @param id its name
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return true if it sent any response; false if it sent none or the sheet no longer lists it
     */
    public CompletableFuture<Boolean> answers(BackendServerId id, long deadlineMillis) {
        Entry entry = entries.get(id);
        if (entry == null) {
            return CompletableFuture.completedFuture(false);
        }
        // HTTP defines OPTIONS as a safe method, so it can be sent to a plain service at any time.
        HttpRequest probe =
                HttpRequest.of("OPTIONS", "/").deadlineMillis(deadlineMillis).build();
        return client.send(entry.server().address(), probe).handle((response, failure) -> failure == null);
    }

    private <T> Optional<T> find(BackendServerId id, Class<T> type) {
        return Optional.ofNullable(entries.get(id))
                .map(Entry::adapter)
                .filter(type::isInstance)
                .map(type::cast);
    }

    private Object adapterOf(BackendServer server) {
        BackendKind kind = server.kind();
        return switch (kind) {
            case PREFILL -> new HttpPrefillEngine(client, server.address(), self);
            case DECODE -> new HttpDecodeEngine(client, server.address(), self);
            case SERVICE -> new HttpPlainService(client, server.address());
            default -> throw new IllegalArgumentException("No adapter for backend servers of kind " + kind + ".");
        };
    }
}
