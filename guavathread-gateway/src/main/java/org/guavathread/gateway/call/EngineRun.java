package org.guavathread.gateway.call;

import java.io.ByteArrayOutputStream;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.stream.EventFramer;
import org.guavathread.gateway.protocol.AnswerMeaning;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;

/** Handles one engine's answer to a language request: forwards events, classifies failures and triggers retries. */
final class EngineRun implements BackendClient.Receiver {

    /** Maximum size of an answer that is no stream, such as an error; larger ones are no answer of an engine. */
    private static final int MAX_NON_STREAM_BYTES = 256 * 1024;

    /** Events that an engine may still send when a request makes it crash. */
    private static final int MAX_EVENTS_OF_SUSPECT = 1;

    private final StreamCall call;
    private final Worker worker;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream nonStreamBody = new ByteArrayOutputStream();
    private final boolean isContinuation;
    private HttpHead head;
    private AnswerMeaning meaning;
    private boolean finished;
    private boolean hasAcquitted;

    EngineRun(StreamCall call, Worker worker) {
        this.call = call;
        this.worker = worker;
        this.isContinuation = call.isOpen();
    }

    @Override
    public void onHead(HttpHead received) {
        if (finished || call.isEnded()) {
            return;
        }
        head = received;
        meaning = call.context.backendProtocol().meaningOf(call.request(), received);
        call.recordLimit(worker, received, meaning);
        if (!meaning.isNotRun()) {
            call.countRun();
        }
        if (meaning == AnswerMeaning.FOREIGN) {
            failed("the answer is not this request's", false);
        } else if (isContinuation && isStream() && !call.hasContentTypeOf(received)) {
            failed("the answer is no stream that could be continued", false);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (finished || call.isEnded()) {
            return;
        }
        if (!isStream()) {
            nonStreamBody.writeBytes(bytes);
            if (nonStreamBody.size() > MAX_NON_STREAM_BYTES) {
                failed("the answer has more than " + MAX_NON_STREAM_BYTES + " bytes", false);
            }
            return;
        }
        int contentBefore = framer.contentLines();
        byte[] completeEvents = framer.accept(bytes);
        framer.lastEventId().ifPresent(call::lastEvent);
        if (framer.events() > MAX_EVENTS_OF_SUSPECT && !hasAcquitted) {
            hasAcquitted = true;
            call.recordAnswered();
        }
        if (isContinuation && framer.isMalformed()) {
            failed("the continuation is no event", false);
            return;
        }
        if (completeEvents.length > 0) {
            call.forward(this, head, completeEvents, framer.contentLines() > contentBefore);
        }
        if (framer.isTooLong() && !call.isEnded()) {
            failed("an event has more than " + EventFramer.MAX_EVENT_BYTES + " bytes", false);
        }
    }

    private boolean isStream() {
        return meaning == AnswerMeaning.RAN && head.isSuccess();
    }

    @Override
    public void onDone() {
        if (finished || call.isEnded()) {
            return;
        }
        if (isStream() && endsWithConnection() && (framer.hasPartial() || framer.contentLines() == 0)) {
            failed("the stream ended in the middle of an event", false);
            return;
        }
        if (isStream() && isContinuation && framer.isMalformedAtEnd()) {
            failed("the continuation is no event", false);
            return;
        }
        finished = true;
        call.clearBackendCall();
        if (!isStream()) {
            nonStreamAnswered();
            return;
        }
        call.recordAnswered();
        call.context.health().succeeded(worker.id(), call.now());
        call.context.metrics().sent("run", meaning.name());
        byte[] remainder = framer.takePartial();
        if (remainder.length > 0 || !call.isOpen()) {
            call.forward(this, head, remainder, true);
        }
        if (!call.isEnded()) {
            call.finish(head.status());
        }
    }

    /** Tells whether only the close of the connection ends the answer, so that a truncated one looks complete. */
    private boolean endsWithConnection() {
        return head.header("Content-Length").isEmpty()
                && head.header("Transfer-Encoding").isEmpty();
    }

    /** Handles an answer that is not an event stream. */
    private void nonStreamAnswered() {
        call.removeLoad();
        call.log("result")
                .with("server", worker.id())
                .with("meaning", meaning)
                .with("status", head.status())
                .write();
        call.context.metrics().sent("run", meaning.name());
        if (meaning == AnswerMeaning.MISDIRECTED) {
            call.context.health().unreachable(worker.id(), call.now());
        } else if (head.status() >= 500 && meaning != AnswerMeaning.FULL) {
            call.context.health().failed(worker.id(), call.now());
        }
        if (meaning.isNotRun()) {
            retryNotRun();
        } else if (head.status() >= 500 && call.mayRunOnceMore() && call.takeRetry()) {
            call.place();
        } else if (call.isOpen()) {
            call.breakOff("broken midway: status " + head.status());
        } else {
            call.answer(head.status(), call.context.backendProtocol().callerHeaders(head), nonStreamBody.toByteArray());
        }
    }

    private void retryNotRun() {
        call.markFull(worker);
        if (call.takeRetry()) {
            call.place();
        } else {
            call.giveUp("The engines have no room.");
        }
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        if (finished || call.isEnded()) {
            return;
        }
        if (BackendClient.isNotSent(failure)) {
            sendFailed(failure);
            return;
        }
        boolean connectionLost = BackendClient.isConnectionLost(failure);
        if (connectionLost && framer.events() <= MAX_EVENTS_OF_SUSPECT) {
            call.recordCrash(worker);
        }
        failed(failure.getMessage(), !connectionLost);
    }

    private void sendFailed(HttpExchangeException failure) {
        finished = true;
        call.clearBackendCall();
        call.removeLoad();
        call.uncountSend();
        call.log("result")
                .with("server", worker.id())
                .with("meaning", "NOT_SENT")
                .with("failure", failure.getMessage())
                .write();
        call.context.metrics().sent("run", "NOT_SENT");
        call.recordLost(worker, failure);
        if (call.mayRetryUnsent()) {
            call.place();
        } else {
            call.giveUp("No engine could be reached.");
        }
    }

    boolean isFinished() {
        return finished;
    }

    Worker worker() {
        return worker;
    }

    /** Handles a failed run: retries on another engine if that is allowed, or reports the failure to the caller. */
    void failed(String reason, boolean isUnresponsive) {
        if (isUnresponsive) {
            call.context.health().unreachable(worker.id(), call.now());
        } else {
            call.context.health().failed(worker.id(), call.now());
        }
        dropped(reason);
    }

    /** Ends a run whose events stay away, since its stream can go on at another engine at once. */
    void handOver(EnginePlan next) {
        call.context.health().unreachable(worker.id(), call.now());
        end("stalled");
        call.goOn(next);
    }

    /** Handles an answer that the caller must not get, though the engine may be sound, as a failed run otherwise. */
    void dropped(String reason) {
        end(reason);
        if (call.mayRunOnceMore() && !call.isCrashSuspect() && call.takeRetry()) {
            call.place();
        } else {
            call.giveUp("The engine broke off: " + reason);
        }
    }

    private void end(String reason) {
        finished = true;
        if (head == null) {
            call.countRun();
        }
        call.cancelBackendCall();
        call.removeLoad();
        call.log("result")
                .with("server", worker.id())
                .with("meaning", "BROKEN")
                .with("failure", reason)
                .with("events", framer.events())
                .with("parts", call.promptPartIds())
                .write();
        call.context.metrics().sent("run", "BROKEN");
    }
}
