package org.guavathread.gateway.call;

import java.io.ByteArrayOutputStream;

import org.guavathread.core.registry.Worker;
import org.guavathread.core.stream.EventFramer;
import org.guavathread.gateway.protocol.AnswerMeaning;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;

/** Handles one engine's answer to a language request: forwards events, classifies failures and triggers retries. */
final class EngineRun implements Exchanges.Receiver {

    private final StreamCall call;
    private final Worker worker;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream otherBody = new ByteArrayOutputStream();
    private HttpHead head;
    private AnswerMeaning meaning;
    private boolean over;

    EngineRun(StreamCall call, Worker worker) {
        this.call = call;
        this.worker = worker;
    }

    @Override
    public void onHead(HttpHead received) {
        if (over || call.isEnded()) {
            return;
        }
        head = received;
        meaning = call.context.backendProtocol().meaningOf(call.request(), received);
        if (!meaning.isNotRun()) {
            call.ran();
        }
        if (meaning == AnswerMeaning.FOREIGN) {
            broken("the answer is not this request's", false);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (over || call.isEnded()) {
            return;
        }
        if (!isStream()) {
            otherBody.writeBytes(bytes);
            return;
        }
        byte[] whole = framer.accept(bytes);
        framer.lastEventId().ifPresent(call::lastEvent);
        if (whole.length > 0) {
            call.pass(this, head, whole);
        }
    }

    private boolean isStream() {
        return meaning == AnswerMeaning.RAN && head.isSuccess();
    }

    @Override
    public void onDone() {
        if (over || call.isEnded()) {
            return;
        }
        over = true;
        call.idle();
        if (!isStream()) {
            endedOtherwise();
            return;
        }
        call.context.crashSuspects().answered(call.admitted.fingerprint());
        call.context.health().succeeded(worker.id());
        call.context.metrics().sent("run", meaning.name());
        byte[] rest = framer.takePartial();
        if (rest.length > 0 || !call.isOpen()) {
            call.pass(this, head, rest);
        }
        if (!call.isEnded()) {
            call.finish(head.status());
        }
    }

    /** Handles an answer that is not an event stream. */
    private void endedOtherwise() {
        call.endCounts();
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
            notRun();
        } else if (head.status() >= 500 && call.mayRunOnceMore() && call.takeRepeat()) {
            call.place();
        } else if (call.isOpen()) {
            call.breakOff("broken midway: status " + head.status());
        } else {
            call.answer(head.status(), call.context.backendProtocol().callerHeaders(head), otherBody.toByteArray());
        }
    }

    private void notRun() {
        call.refusedBy(worker);
        if (call.takeRepeat()) {
            call.place();
        } else {
            call.giveUp("The engines have no room.");
        }
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        if (over || call.isEnded()) {
            return;
        }
        if (Exchanges.isNotSent(failure)) {
            notSent(failure);
            return;
        }
        boolean lost = Exchanges.isConnectionLost(failure);
        if (lost) {
            call.context.crashSuspects().crashed(call.admitted.fingerprint(), call.now());
        }
        broken(failure.getMessage(), !lost);
    }

    private void notSent(HttpExchangeException failure) {
        over = true;
        call.idle();
        call.endCounts();
        call.notSentTo();
        call.log("result")
                .with("server", worker.id())
                .with("meaning", "NOT_SENT")
                .with("failure", failure.getMessage())
                .write();
        call.context.metrics().sent("run", "NOT_SENT");
        call.context.health().unreachable(worker.id(), call.now());
        if (call.mayTryUnsent()) {
            call.place();
        } else {
            call.giveUp("No engine could be reached.");
        }
    }

    boolean isOver() {
        return over;
    }

    Worker worker() {
        return worker;
    }

    /** Handles a failed run: retries on another engine if that is allowed, or reports the failure to the caller. */
    void broken(String reason, boolean isSilent) {
        over = true;
        if (head == null) {
            call.ran();
        }
        call.cancelRunning();
        call.endCounts();
        call.log("result")
                .with("server", worker.id())
                .with("meaning", "BROKEN")
                .with("failure", reason)
                .with("events", framer.events())
                .write();
        call.context.metrics().sent("run", "BROKEN");
        if (isSilent) {
            call.context.health().unreachable(worker.id(), call.now());
        } else {
            call.context.health().failed(worker.id(), call.now());
        }
        boolean suspect = call.context.crashSuspects().isRefused(call.admitted.fingerprint(), call.now());
        if (call.mayRunOnceMore() && !suspect && call.takeRepeat()) {
            call.place();
        } else {
            call.giveUp("The engine broke off: " + reason);
        }
    }
}
