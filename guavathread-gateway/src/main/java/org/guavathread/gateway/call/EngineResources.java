package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.gateway.protocol.EngineReservation;
import org.guavathread.gateway.protocol.PrefillResult;
import org.guavathread.router.http.HttpRequest;

/** Resources that one language request holds at engines: its load, a memory reservation and a prefilled KV cache. */
final class EngineResources {

    /** Minimum remaining lifetime of a KV cache or reservation when it is used. */
    private static final long MIN_REMAINING_LIFETIME_MILLIS = 100;

    private final GatewayContext context;
    private final EngineTerms engineTerms;
    private final BackendClient backendClient;
    private ServerLoads.Ticket prefillTicket;
    private ServerLoads.Ticket runTicket;
    private Optional<PrefillResult> prefillResult = Optional.empty();
    private Optional<EngineReservation> reservation = Optional.empty();

    /** Reservations for the case that a running stream goes on at another engine. */
    private final Set<EngineReservation> spares = new HashSet<>();

    EngineResources(GatewayContext context, EngineTerms engineTerms, BackendClient backendClient) {
        this.context = context;
        this.backendClient = backendClient;
        this.engineTerms = engineTerms;
    }

    /** Adds the request to the load of the engine that generates its answer. */
    void addRunLoad(BackendServerId server, int promptTokens, int occupiedTokens) {
        runTicket = context.loads().open(server, promptTokens, occupiedTokens);
    }

    /** Adds the request to the load of the engine that runs its prefill. */
    void addPrefillLoad(BackendServerId server, int promptTokens) {
        prefillTicket = context.loads().open(server, promptTokens, promptTokens);
    }

    /** Removes the prompt from the generating engine's load: with the first event, its prefill is complete. */
    void prefillCompleted() {
        runTicket.promptRead();
    }

    void removePrefillLoad() {
        if (prefillTicket != null) {
            prefillTicket.close();
            prefillTicket = null;
        }
    }

    /** Removes the request from the load of all engines. */
    void removeLoad() {
        removePrefillLoad();
        if (runTicket != null) {
            runTicket.close();
            runTicket = null;
        }
    }

    void keep(EngineReservation reserved) {
        reservation = Optional.of(reserved);
    }

    void addSpare(EngineReservation reserved) {
        spares.add(reserved);
    }

    /** Makes a spare reservation the one of the next run. */
    void useSpare(EngineReservation reserved) {
        spares.remove(reserved);
        releaseReservation();
        reservation = Optional.of(reserved);
    }

    void releaseSpare(EngineReservation reserved) {
        if (spares.remove(reserved)) {
            release(reserved);
        }
    }

    void keep(PrefillResult result) {
        prefillResult = Optional.of(result);
    }

    /** Returns the software version whose engines can use the KV cache, if there is one that has not expired. */
    Optional<SoftwareVersion> prefilledVersion() {
        return prefillResult.filter(this::isUsable).map(p -> p.engine().softwareVersion());
    }

    /** Returns and forgets the KV cache for a run; frees it if it would expire before, or fits another version only. */
    Optional<PrefillResult> takePrefillResult(Worker at) {
        Optional<PrefillResult> usable = prefillResult
                .filter(this::isUsable)
                .filter(p -> p.engine().softwareVersion().equals(at.softwareVersion()));
        if (usable.isEmpty()) {
            freeKvCache();
        }
        prefillResult = Optional.empty();
        return usable;
    }

    private boolean isUsable(PrefillResult result) {
        return now() - result.completedAtMillis() < engineTerms.handleMillis() - MIN_REMAINING_LIFETIME_MILLIS;
    }

    /** Returns and forgets the reservation at an engine; releases it if it would expire before the run starts. */
    Optional<EngineReservation> takeReservation(Worker at) {
        Optional<EngineReservation> usable = reservation.filter(
                r -> r.engine().isSameButForCold(at) && now() < r.expiresAtMillis() - MIN_REMAINING_LIFETIME_MILLIS);
        if (usable.isEmpty()) {
            releaseReservation();
        }
        reservation = Optional.empty();
        return usable;
    }

    /** Releases the KV cache and the reservation that no run has taken over. */
    void releaseUnused() {
        freeKvCache();
        releaseReservation();
        List.copyOf(spares).forEach(this::releaseSpare);
    }

    private void freeKvCache() {
        prefillResult.ifPresent(
                p -> sendAndForget(p.engine(), context.backendProtocol().freeKvCache(p)));
        prefillResult = Optional.empty();
    }

    void releaseReservation() {
        reservation.ifPresent(this::release);
        reservation = Optional.empty();
    }

    /** Releases a reservation unless it has expired. */
    void release(EngineReservation reserved) {
        if (now() < reserved.expiresAtMillis()) {
            sendAndForget(reserved.engine(), context.backendProtocol().releaseReservation(reserved));
        }
    }

    /** Gives something back; if that fails, or the engine is to be spared, it expires soon. */
    private void sendAndForget(Worker engine, HttpRequest request) {
        if (!context.isSpared(engine, now())) {
            backendClient.send(engine, request, answer -> {}, failure -> {});
        }
    }

    private long now() {
        return context.loop().nowMillis();
    }
}
