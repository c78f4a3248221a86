package org.guavathread.gateway.call;

import java.util.Optional;

import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.gateway.protocol.EngineReservation;
import org.guavathread.gateway.protocol.PrefillResult;

/** Resources that one language request holds at engines: its load, a memory reservation and a prefilled KV cache. */
final class EngineHoldings {

    /** Minimum remaining lifetime of a KV cache or reservation when it is used. */
    private static final long USE_MARGIN_MILLIS = 100;

    private final GatewayContext context;
    private final EngineTerms engine;
    private ServerLoads.Ticket readTicket;
    private ServerLoads.Ticket runTicket;
    private Optional<PrefillResult> prompt = Optional.empty();
    private Optional<EngineReservation> room = Optional.empty();

    EngineHoldings(GatewayContext context, EngineTerms engine) {
        this.context = context;
        this.engine = engine;
    }

    /** Adds the request to the load of the engine that generates its answer. */
    void countRun(BackendServerId server, int promptTokens, int occupiedTokens) {
        runTicket = context.loads().open(server, promptTokens, occupiedTokens);
    }

    /** Adds the request to the load of the engine that runs its prefill. */
    void countRead(BackendServerId server, int promptTokens) {
        readTicket = context.loads().open(server, promptTokens, promptTokens);
    }

    /** Removes the prompt from the generating engine's load: with the first event, its prefill is complete. */
    void noteFirstEvent() {
        runTicket.promptRead();
    }

    void endRead() {
        if (readTicket != null) {
            readTicket.close();
            readTicket = null;
        }
    }

    /** Removes the request from the load of all engines. */
    void endCounts() {
        endRead();
        if (runTicket != null) {
            runTicket.close();
            runTicket = null;
        }
    }

    void keep(EngineReservation reserved) {
        room = Optional.of(reserved);
    }

    void keep(PrefillResult read) {
        prompt = Optional.of(read);
    }

    boolean hasUsablePrompt() {
        return prompt.filter(this::isUsable).isPresent();
    }

    /** Returns and forgets the KV cache for a run; frees it if it would expire before the run starts. */
    Optional<PrefillResult> takePrompt() {
        Optional<PrefillResult> usable = prompt.filter(this::isUsable);
        if (usable.isEmpty()) {
            freePrompt();
        }
        prompt = Optional.empty();
        return usable;
    }

    private boolean isUsable(PrefillResult read) {
        return now() - read.completedAtMillis() < engine.handleMillis() - USE_MARGIN_MILLIS;
    }

    /** Returns and forgets the reservation at an engine; releases it if it would expire before the run starts. */
    Optional<EngineReservation> takeRoom(Worker at) {
        Optional<EngineReservation> usable =
                room.filter(r -> r.engine().equals(at) && now() < r.expiresAtMillis() - USE_MARGIN_MILLIS);
        if (usable.isEmpty()) {
            giveRoomBack();
        }
        room = Optional.empty();
        return usable;
    }

    /** Releases the KV cache and the reservation that no run has taken over. */
    void giveBack() {
        freePrompt();
        giveRoomBack();
    }

    private void freePrompt() {
        prompt.ifPresent(p -> context.client()
                .send(p.engine().address(), context.backendProtocol().freeKvCache(p)));
        prompt = Optional.empty();
    }

    private void giveRoomBack() {
        room.filter(r -> now() < r.expiresAtMillis())
                .ifPresent(r -> context.client()
                        .send(r.engine().address(), context.backendProtocol().releaseReservation(r)));
        room = Optional.empty();
    }

    private long now() {
        return context.loop().nowMillis();
    }
}
