package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;

/** One attempt in one epoch: builds its messages and recognizes the replies to them. */
record ClaimRound(ClaimCall call, AttemptId attempt, HostEpoch epoch) {

    ClaimRequest request() {
        return new ClaimRequest(call.key(), attempt, epoch, call.arrivedAtMillis(), call.keyIssuedAtMillis());
    }

    ClaimAbort abort(long barrierMillis) {
        return new ClaimAbort(call.key(), attempt, epoch, call.keyIssuedAtMillis(), barrierMillis);
    }

    ClaimAbort release(AttemptId released) {
        return new ClaimAbort(call.key(), released, epoch, call.keyIssuedAtMillis(), ClaimAbort.RELEASE_ONLY);
    }

    boolean isAnsweredBy(ClaimReply reply) {
        return reply.attempt().equals(attempt) && reply.requestEpoch().equals(epoch);
    }

    boolean isAnsweredBy(ClaimAbortReply reply, long barrierMillis) {
        return reply.attempt().equals(attempt)
                && reply.requestEpoch().equals(epoch)
                && reply.barrierMillis() == barrierMillis;
    }
}
