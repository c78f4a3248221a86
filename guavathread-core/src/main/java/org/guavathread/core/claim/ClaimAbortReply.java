package org.guavathread.core.claim;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.message.PeerMessage;

/**
 * A voter's reply to {@link ClaimAbort} with a barrier.
 *
 * @param key the key
 * @param attempt the aborted attempt
 * @param requestEpoch the epoch of the abort that is answered
 * @param barrierMillis the requested barrier, in milliseconds since the epoch
 * @param vote {@link ClaimVote#CONFIRMED}, or why the abort is not confirmed
 * @param epoch the epoch of the voter
 * @param earlier the voters of earlier epochs whose votes this voter still requires
 * @param outcome the outcome of another attempt, if the voter knows it
 */
public record ClaimAbortReply(
        ClaimKey key,
        AttemptId attempt,
        HostEpoch requestEpoch,
        long barrierMillis,
        ClaimVote vote,
        HostEpoch epoch,
        List<EpochVoters> earlier,
        Optional<ClaimOutcome> outcome)
        implements PeerMessage {}
