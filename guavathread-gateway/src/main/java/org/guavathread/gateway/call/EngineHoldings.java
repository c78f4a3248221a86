package org.guavathread.gateway.call;

import java.util.Optional;

import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.gateway.form.ReadPrompt;
import org.guavathread.gateway.form.ReservedRoom;

/** What one language request holds at engines: its part of their load, reserved room, and a prompt that was read. */
final class EngineHoldings {

    /** A KV cache or reservation must have at least this long to live when it is used. */
    private static final long USE_MARGIN_MILLIS = 100;

    private final Parts parts;
    private final EngineTerms engine;
    private ServerLoads.Ticket readTicket;
    private ServerLoads.Ticket runTicket;
    private Optional<ReadPrompt> prompt = Optional.empty();
    private Optional<ReservedRoom> room = Optional.empty();

    EngineHoldings(Parts parts, EngineTerms engine) {
        this.parts = parts;
        this.engine = engine;
    }

    /** Counts the request at the engine that is to generate its answer. */
    void countRun(BackendServerId server, int promptTokens, int occupiedTokens) {
        runTicket = parts.loads().open(server, promptTokens, occupiedTokens);
    }

    /** Counts the request at the engine that is to read its prompt. */
    void countRead(BackendServerId server, int promptTokens) {
        readTicket = parts.loads().open(server, promptTokens, promptTokens);
    }

    /** Notes that the generating engine has no more of the prompt to read. */
    void noteFirstEvent() {
        runTicket.promptRead();
    }

    void endRead() {
        if (readTicket != null) {
            readTicket.close();
            readTicket = null;
        }
    }

    /** Stops counting the request at any engine. */
    void endCounts() {
        endRead();
        if (runTicket != null) {
            runTicket.close();
            runTicket = null;
        }
    }

    void keep(ReservedRoom reserved) {
        room = Optional.of(reserved);
    }

    void keep(ReadPrompt read) {
        prompt = Optional.of(read);
    }

    boolean hasUsablePrompt() {
        return prompt.filter(this::isUsable).isPresent();
    }

    /** Hands over the prompt for a run; one that would be gone before the run starts is freed. */
    Optional<ReadPrompt> takePrompt() {
        Optional<ReadPrompt> usable = prompt.filter(this::isUsable);
        if (usable.isEmpty()) {
            freePrompt();
        }
        prompt = Optional.empty();
        return usable;
    }

    private boolean isUsable(ReadPrompt read) {
        return now() - read.readAtMillis() < engine.handleMillis() - USE_MARGIN_MILLIS;
    }

    /** Hands over the room that was reserved at an engine, if it lasts until the run starts. */
    Optional<ReservedRoom> takeRoom(Worker at) {
        Optional<ReservedRoom> usable =
                room.filter(r -> r.engine().equals(at) && now() < r.expiresAtMillis() - USE_MARGIN_MILLIS);
        if (usable.isEmpty()) {
            giveRoomBack();
        }
        room = Optional.empty();
        return usable;
    }

    /** Frees what no run has taken over. */
    void giveBack() {
        freePrompt();
        giveRoomBack();
    }

    private void freePrompt() {
        prompt.ifPresent(
                p -> parts.client().send(p.engine().address(), parts.workers().free(p)));
        prompt = Optional.empty();
    }

    private void giveRoomBack() {
        room.filter(r -> now() < r.expiresAtMillis())
                .ifPresent(r -> parts.client()
                        .send(r.engine().address(), parts.workers().giveBack(r)));
        room = Optional.empty();
    }

    private long now() {
        return parts.loop().nowMillis();
    }
}
