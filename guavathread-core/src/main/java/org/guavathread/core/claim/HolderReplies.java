package org.guavathread.core.claim;

import java.util.HashSet;
import java.util.Set;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostId;

/** Collects the replies about another attempt that holds the key of a coordinator. */
final class HolderReplies {

    private final AttemptId holder;
    private final Set<HostId> votersWithoutHolder = new HashSet<>();
    private final Set<HostId> votersWithoutOutcome = new HashSet<>();
    private AttemptState holderState;

    HolderReplies(AttemptId holder) {
        this.holder = holder;
    }

    AttemptId holder() {
        return holder;
    }

    HostId host() {
        return holder.host();
    }

    void record(HostId from, OutcomeReply reply) {
        if (reply.fromHolder()) {
            holderState = reply.state();
        } else if (reply.state() == AttemptState.ABORTED || reply.state() == AttemptState.NOT_KNOWN) {
            votersWithoutHolder.add(from);
        } else {
            votersWithoutOutcome.add(from);
        }
    }

    boolean isAborted() {
        return holderState == AttemptState.ABORTED;
    }

    /** Tells whether the holder has ended, so that a reply without an outcome means that its answer was not kept. */
    boolean isEnded() {
        return holderState == AttemptState.ENDED;
    }

    boolean isRunning() {
        return holderState == AttemptState.DISPATCHED || holderState == AttemptState.CLAIMING;
    }

    boolean isFreed(ClaimTally tally) {
        return tally.isMajorityOfEveryEpoch(votersWithoutHolder);
    }

    /** Tells whether the coordinator of the holder lost its state, and the voters that still record it have no outcome. */
    boolean isLost(ClaimTally tally) {
        return holderState == AttemptState.NOT_KNOWN && tally.isMajorityOfEveryEpoch(votersWithoutOutcome);
    }
}
