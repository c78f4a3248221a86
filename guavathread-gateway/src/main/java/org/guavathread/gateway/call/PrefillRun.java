package org.guavathread.gateway.call;

import java.util.Optional;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.protocol.AnswerMeaning;
import org.guavathread.gateway.protocol.PrefillResult;
import org.guavathread.router.http.HttpResponse;

/** Has the prompt of one request read at a prefill engine; the generating engine follows, whatever the outcome. */
final class PrefillRun {

    /** Timeout as a multiple of the expected time, plus a fixed slack for a busy engine. */
    private static final double TIMEOUT_FACTOR = 2;

    private static final long TIMEOUT_SLACK_MILLIS = 500;

    private final StreamCall call;
    private final EngineResources resources;
    private final BackendClient backendClient;
    private final Worker engine;
    private final EnginePlan plan;

    PrefillRun(
            StreamCall call, EngineResources resources, BackendClient backendClient, Worker engine, EnginePlan plan) {
        this.call = call;
        this.resources = resources;
        this.backendClient = backendClient;
        this.engine = engine;
        this.plan = plan;
    }

    void begin() {
        if (call.endedBeforeSending()) {
            return;
        }
        long untilMillis = Math.min(
                call.admitted.deadlineMillis(),
                call.now() + TIMEOUT_SLACK_MILLIS + (long) (TIMEOUT_FACTOR * plan.expectedMillis()));
        call.setBackendCall(backendClient.send(
                engine,
                call.context
                        .backendProtocol()
                        .prefill(
                                call.request(),
                                call.sendOptions(
                                        engine, untilMillis, Optional.empty(), Optional.empty(), Optional.empty())),
                this::answered,
                failure -> failed(false, failure)));
    }

    private void answered(HttpResponse answer) {
        Optional<PrefillResult> prompt =
                call.context.backendProtocol().prefillResultOf(call.request(), engine, answer, call.now());
        prompt.ifPresent(resources::keep);
        AnswerMeaning meaning = prompt.isPresent()
                ? AnswerMeaning.RAN
                : call.context.backendProtocol().meaningOf(call.request(), answer.head());
        call.recordLimit(engine, answer.head(), meaning);
        if (call.isEnded()) {
            resources.releaseUnused();
            return;
        }
        if (prompt.isEmpty()) {
            failed(meaning.isNotRun(), new IllegalStateException("status " + answer.status()));
            return;
        }
        call.clearBackendCall();
        resources.removePrefillLoad();
        call.context.metrics().sent("read", "RAN");
        call.context.health().succeeded(engine.id(), call.now());
        call.generate(plan.decode(), plan.expectedMillis());
    }

    /** Falls back to the generating engine, which runs the prefill itself in the memory that it has reserved. */
    private void failed(boolean rejected, Throwable failure) {
        if (call.isEnded()) {
            return;
        }
        call.clearBackendCall();
        resources.removePrefillLoad();
        call.context.metrics().sent("read", rejected ? "NOT_RUN" : "BROKEN");
        call.log("result")
                .with("server", engine.id())
                .with("step", "read")
                .with("rejected", rejected)
                .with("failure", failure.getMessage())
                .write();
        if (BackendClient.isConnectionLost(failure)) {
            call.recordCrash(engine);
        }
        if (!call.isPaused(engine)) {
            call.recordLost(engine, failure);
        }
        if (rejected && !call.takeRetry()) {
            call.refuseFull("The prompt could not be read, and the retry budget is used up.");
            return;
        }
        call.generate(plan.decode(), plan.expectedMillis());
    }
}
