package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.dispatch.SendPurpose;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.protocol.EngineReservation;

/**
 * Looks for another engine for a stream whose events stay away, and secures what the stream needs there: the process whose
 * version is known, permits, memory where engines take reservations, and a retry. Its own engine, which may only be silent
 * for a while, keeps the stream until then.
 */
final class EngineHandover implements StallWatch.EngineSearch {

    private final StreamCall call;
    private final ProcessCheck processCheck;
    private final ReservationRequest reservations;
    private final EngineResources resources;

    EngineHandover(
            StreamCall call, ProcessCheck processCheck, ReservationRequest reservations, EngineResources resources) {
        this.call = call;
        this.processCheck = processCheck;
        this.reservations = reservations;
        this.resources = resources;
    }

    @Override
    public void begin(BooleanSupplier isWanted, Consumer<Optional<EnginePlan>> onDone) {
        Optional<EnginePlan> plan = call.mayRepeat() ? call.planToGoOn() : Optional.empty();
        if (plan.isEmpty()) {
            onDone.accept(plan);
            return;
        }
        Attempt attempt = new Attempt(plan.get(), isWanted, onDone);
        if (call.isContinuation()) {
            attempt.checkProcess();
        } else {
            attempt.askForPermit();
        }
    }

    /** One engine that is tried; each step goes on only while the events still stay away. */
    private final class Attempt {

        private final EnginePlan plan;
        private final Worker engine;
        private final BooleanSupplier isWanted;
        private final Consumer<Optional<EnginePlan>> onDone;
        private final boolean isContinuation = call.isContinuation();
        private Optional<EngineReservation> reservation = Optional.empty();

        private Attempt(EnginePlan plan, BooleanSupplier isWanted, Consumer<Optional<EnginePlan>> onDone) {
            this.plan = plan;
            this.engine = plan.decode();
            this.isWanted = isWanted;
            this.onDone = onDone;
        }

        private void checkProcess() {
            processCheck.ask(engine, outcome -> {
                if (outcome.isConfirmed()) {
                    askForPermit();
                } else {
                    call.exclude(engine);
                    abandon("another process, or not known which one");
                }
            });
        }

        private void askForPermit() {
            if (isWanted.getAsBoolean()) {
                call.withPermit(engine, SendPurpose.RESERVATION, this::reserve, () -> abandon("no permit"));
            } else {
                abandon("not needed any more");
            }
        }

        private void reserve() {
            if (!isWanted.getAsBoolean()) {
                abandon("not needed any more");
            } else if (reservations.isPossible()) {
                reservations.send(
                        engine,
                        got -> {
                            reservation = Optional.of(got);
                            resources.addSpare(got);
                            askForPermitToRun();
                        },
                        () -> {},
                        this::abandon);
            } else {
                askForPermitToRun();
            }
        }

        private void askForPermitToRun() {
            call.withPermit(engine, SendPurpose.WORK, this::permitted, () -> abandon("no permit"));
        }

        private void permitted() {
            if (!isWanted.getAsBoolean()) {
                abandon("not needed any more");
            } else if (!call.isUsable(engine) || call.isContinuation() != isContinuation) {
                // All steps before may have taken some hundred milliseconds.
                abandon("the engine left or paused, or the stream has begun meanwhile");
            } else if (call.isCrashSuspect() || !call.takeRetry()) {
                abandon("it may not run once more");
            } else {
                reservation.ifPresent(resources::useSpare);
                log(reservation.isPresent() ? "secured" : "secured, without a reservation");
                onDone.accept(Optional.of(plan));
            }
        }

        private void abandon(String reason) {
            reservation.ifPresent(resources::releaseSpare);
            log(reason);
            onDone.accept(Optional.empty());
        }

        private void log(String outcome) {
            call.log("handover")
                    .with("server", engine.id())
                    .with("outcome", outcome)
                    .write();
        }
    }
}
