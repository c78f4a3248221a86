package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks for the state of an attempt.
 *
 * @param key the key
 * @param attempt the attempt
 * @param toHolder true if the query is addressed to the coordinator of the attempt, false if to a voter
 */
public record OutcomeQuery(ClaimKey key, AttemptId attempt, boolean toHolder) implements PeerMessage {}
