package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.function.Consumer;

import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.gateway.protocol.EngineReservation;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/** Asks engines to reserve memory for one language request. A request that has ended meanwhile does not go on. */
final class ReservationRequest {

    /** Timeout of a reservation call. The call is small, so an engine that takes longer is considered unhealthy. */
    private static final long TIMEOUT_MILLIS = 400;

    private final StreamCall call;
    private final EngineTerms engineTerms;
    private final EngineWork work;
    private final BackendClient backendClient;
    private final EngineResources resources;

    ReservationRequest(
            StreamCall call,
            EngineTerms engineTerms,
            EngineWork work,
            BackendClient backendClient,
            EngineResources resources) {
        this.call = call;
        this.engineTerms = engineTerms;
        this.work = work;
        this.backendClient = backendClient;
        this.resources = resources;
    }

    /** Tells whether engines of the service take reservations. */
    boolean isPossible() {
        return engineTerms.reserveMillis() > 0;
    }

    /**
     * Asks an engine.
     *
     * @param engine the engine
     * @param onReserved receives the reservation
     * @param onNone runs if there is none, before that is judged
     * @param onFailed receives the reason then
     * @return the exchange with the engine
     */
    HttpCall send(Worker engine, Consumer<EngineReservation> onReserved, Runnable onNone, Consumer<String> onFailed) {
        long now = call.now();
        long expiresAtMillis = now + engineTerms.reserveMillis();
        HttpRequest request = call.context
                .backendProtocol()
                .reserve(engine, work.heldTokens(), engineTerms.reserveMillis(), now + TIMEOUT_MILLIS);
        return backendClient.send(
                engine,
                request,
                answer -> {
                    Optional<EngineReservation> got =
                            call.context.backendProtocol().reservationOf(engine, answer, expiresAtMillis);
                    if (call.isEnded()) {
                        got.ifPresent(resources::release);
                    } else if (got.isPresent()) {
                        call.context.health().reserved(engine.id());
                        call.context.metrics().sent("reserve", "RAN");
                        onReserved.accept(got.get());
                    } else {
                        onNone.run();
                        refused(engine, answer, onFailed);
                    }
                },
                failure -> {
                    if (!call.isEnded()) {
                        onNone.run();
                        call.recordLost(engine, failure);
                        onFailed.accept(failure.getMessage());
                    }
                });
    }

    private void refused(Worker engine, HttpResponse answer, Consumer<String> onFailed) {
        if (!call.isPaused(engine)) {
            call.context.engineDispatch().refused(engine, work, engineTerms.memoryTokens(), call.now());
        }
        onFailed.accept("status " + answer.status());
    }
}
