package org.guavathread.core.claim;

import java.util.Optional;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.message.PeerMessage;

/**
 * Reply to {@link OutcomeQuery}.
 *
 * @param key the key
 * @param attempt the attempt
 * @param fromHolder true if the sender replies as the coordinator of the attempt, false if as a voter
 * @param state what the sender knows about the attempt
 * @param outcome the outcome of the key, if the sender knows it
 */
public record OutcomeReply(
        ClaimKey key, AttemptId attempt, boolean fromHolder, AttemptState state, Optional<ClaimOutcome> outcome)
        implements PeerMessage {}
