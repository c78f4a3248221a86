package org.guavathread.gateway.call;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;

/** Holds back the answer of an engine that continues a stream until it is known which process of it answers. */
final class HeldAnswer implements BackendClient.Receiver {

    /** Maximum size of what is held back: some events, since a check takes some hundred milliseconds at most. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    private enum State {
        /** Nothing has arrived. */
        AWAITS_HEAD,
        /** The process is being asked for. */
        HELD,
        /** Everything is passed on. */
        RELEASED,
        /** Another process answers, or none could be asked. */
        DROPPED
    }

    private final StreamCall call;
    private final EngineRun run;
    private final ProcessCheck processCheck;
    private final List<Runnable> held = new ArrayList<>();
    private long heldBytes;
    private State state = State.AWAITS_HEAD;
    private HttpExchangeException failure;

    HeldAnswer(StreamCall call, EngineRun run, ProcessCheck processCheck) {
        this.call = call;
        this.run = run;
        this.processCheck = processCheck;
    }

    @Override
    public void onHead(HttpHead head) {
        if (head.isSuccess()) {
            state = State.HELD;
            processCheck.ask(run.worker(), this::asked);
        } else {
            state = State.RELEASED;
        }
        pass(() -> run.onHead(head));
    }

    private void asked(ProcessCheck.Outcome outcome) {
        if (state != State.HELD) {
            return;
        }
        if (outcome.isConfirmed()) {
            state = State.RELEASED;
            held.forEach(Runnable::run);
            held.clear();
        } else if (failure != null) {
            // The failure says more of the engine than the missing confirmation.
            state = State.DROPPED;
            run.onFailure(failure);
        } else {
            drop("it is not known to come from the expected process");
        }
    }

    private void drop(String reason) {
        state = State.DROPPED;
        held.clear();
        if (!call.isEnded() && !run.isFinished()) {
            run.dropped("the continuation is dropped: " + reason);
        }
    }

    private void pass(Runnable part) {
        if (state == State.HELD) {
            held.add(part);
        } else if (state != State.DROPPED) {
            part.run();
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        pass(() -> run.onBytes(bytes));
        heldBytes += bytes.length;
        if (state == State.HELD && heldBytes > MAX_HELD_BYTES) {
            drop("more than " + MAX_HELD_BYTES + " bytes arrived before that was known");
        }
    }

    @Override
    public void onDone() {
        pass(run::onDone);
    }

    @Override
    public void onFailure(HttpExchangeException cause) {
        failure = cause;
        pass(() -> run.onFailure(cause));
    }
}
