package org.guavathread.bench.claims;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.guavathread.core.claim.ClaimAction;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.id.HostId;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RunState;

/** One send of a request by its caller, with the answer that the caller got. */
final class SimCall {

    private static final long NEVER = -1;

    /** How a send ended, as its caller sees it. */
    enum End {
        ANSWERED,
        NOT_RUN,
        UNKNOWN,
        BROKEN
    }

    private final VirtualTime time;
    private final ClaimKey key;
    private final long keyIssuedAtMillis;
    private final Consumer<SimCall> onEnd;

    private HostId host;
    private BooleanSupplier hostIsAlive = () -> true;
    private long reachedAtMillis = NEVER;
    private long notRunToldAtMillis = NEVER;
    private long dispatchMillis = NEVER;
    private long endedAtMillis = NEVER;
    private int answers;
    private boolean wrongAnswer;
    private boolean paused;
    private End end;

    SimCall(VirtualTime time, ClaimKey key, long keyIssuedAtMillis, Consumer<SimCall> onEnd) {
        this.time = time;
        this.key = key;
        this.keyIssuedAtMillis = keyIssuedAtMillis;
        this.onEnd = onEnd;
    }

    ClaimKey key() {
        return key;
    }

    long keyIssuedAtMillis() {
        return keyIssuedAtMillis;
    }

    void reached(HostId at, BooleanSupplier isAlive) {
        host = at;
        hostIsAlive = isAlive;
        reachedAtMillis = time.nowMillis();
    }

    HostId host() {
        return host;
    }

    boolean hasReached() {
        return reachedAtMillis != NEVER;
    }

    long reachedAtMillis() {
        return reachedAtMillis;
    }

    void granted(long nowMillis) {
        dispatchMillis = nowMillis - reachedAtMillis;
    }

    long dispatchMillis() {
        return dispatchMillis;
    }

    long notRunToldAtMillis() {
        return notRunToldAtMillis;
    }

    boolean wasToldNotRun() {
        return notRunToldAtMillis != NEVER;
    }

    End end() {
        return end;
    }

    void hostPaused() {
        paused = true;
    }

    void hostDied() {
        finish(End.BROKEN);
    }

    void refused(Refusal refusal) {
        answers++;
        if (refusal.run() == RunState.NOT_RUN) {
            notRunToldAtMillis = time.nowMillis();
        }
        finish(refusal.run() == RunState.NOT_RUN ? End.NOT_RUN : End.UNKNOWN);
    }

    void answered(ClaimAction.Relay relay) {
        answers++;
        wrongAnswer |= !key.toString().equals(new String(relay.outcome().answer()));
        finish(End.ANSWERED);
    }

    private void finish(End newEnd) {
        if (end == null) {
            end = newEnd;
            endedAtMillis = time.nowMillis();
            onEnd.accept(this);
        }
    }

    /** Describes what is wrong with the answers to this send, or returns null if they are correct. */
    String answerFault(long maxAnswerMillis) {
        if (answers > 1 || wrongAnswer) {
            return key + " at " + host + ": " + answers + " answers, wrong " + wrongAnswer;
        }
        if (!hasReached() || !hostIsAlive.getAsBoolean()) {
            return null;
        }
        if (answers == 0) {
            return key + " at " + host + ": no answer";
        }
        boolean late = !paused && endedAtMillis - reachedAtMillis > maxAnswerMillis;
        return late ? key + " at " + host + ": answered after " + (endedAtMillis - reachedAtMillis) + " ms" : null;
    }
}
