package org.guavathread.core.claim;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.message.PeerMessage;

/**
 * A voter's reply to {@link ClaimRequest}.
 *
 * @param key the key
 * @param attempt the attempt that requested the key
 * @param requestEpoch the epoch of the request that is answered
 * @param vote the vote
 * @param holder the attempt that holds the key at this voter
 * @param barrierMillis for {@link ClaimVote#BARRED}, the time before which arrivals are refused; otherwise 0
 * @param voterIncarnation the incarnation of the voter's process
 * @param epoch the epoch of the voter
 * @param earlier the voters of earlier epochs whose votes this voter still requires; a coordinator that restarted or
 *     skipped an epoch does not know them
 * @param outcome the outcome, if the voter knows it
 */
public record ClaimReply(
        ClaimKey key,
        AttemptId attempt,
        HostEpoch requestEpoch,
        ClaimVote vote,
        Optional<AttemptId> holder,
        long barrierMillis,
        Incarnation voterIncarnation,
        HostEpoch epoch,
        List<EpochVoters> earlier,
        Optional<ClaimOutcome> outcome)
        implements PeerMessage {}
