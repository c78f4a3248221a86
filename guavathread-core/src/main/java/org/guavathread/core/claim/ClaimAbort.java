package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.message.PeerMessage;

/**
 * Tells a voter that an attempt was not dispatched and never will be. With a barrier, it also asks the voter to refuse
 * all attempts that arrived up to the barrier, so that the caller can be told {@code not_run}.
 *
 * @param key the key
 * @param attempt the attempt
 * @param epoch the epoch of the coordinator
 * @param keyIssuedAtMillis when the key was issued, or {@link IssueTimes#UNKNOWN}
 * @param barrierMillis the barrier in milliseconds since the epoch, or {@link #RELEASE_ONLY}
 */
public record ClaimAbort(ClaimKey key, AttemptId attempt, HostEpoch epoch, long keyIssuedAtMillis, long barrierMillis)
        implements PeerMessage {

    /** Value of {@code barrierMillis} for an abort that only frees the key and needs no reply. */
    public static final long RELEASE_ONLY = 0;
}
