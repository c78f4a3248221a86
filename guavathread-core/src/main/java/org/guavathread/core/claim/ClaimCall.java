package org.guavathread.core.claim;

/**
 * A request with an idempotency key, as one host received it.
 *
 * @param key the key
 * @param arrivedAtMillis a time at which the request had certainly not arrived later, in milliseconds since the epoch.
 *     After a pause of the process this is the last time at which the connection was seen without the request.
 * @param keyIssuedAtMillis when the key was issued, or {@link IssueTimes#UNKNOWN}
 * @param answerDeadlineMillis until when the caller waits for an answer, in milliseconds since the epoch
 */
public record ClaimCall(ClaimKey key, long arrivedAtMillis, long keyIssuedAtMillis, long answerDeadlineMillis) {}
