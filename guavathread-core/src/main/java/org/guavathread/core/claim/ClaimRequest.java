package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks a voter to grant a key to an attempt.
 *
 * @param key the key
 * @param attempt the attempt
 * @param epoch the epoch of the coordinator
 * @param arrivedAtMillis when the request reached the coordinator, in milliseconds since the epoch of its clock
 * @param keyIssuedAtMillis when the key was issued, or {@link IssueTimes#UNKNOWN}
 */
public record ClaimRequest(
        ClaimKey key, AttemptId attempt, HostEpoch epoch, long arrivedAtMillis, long keyIssuedAtMillis)
        implements PeerMessage {}
