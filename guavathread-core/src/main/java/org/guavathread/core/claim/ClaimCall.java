package org.guavathread.core.claim;

/**
 * A request with an idempotency key, as one host received it.
 *
 * @param key the key
 * @param arrivedAtMillis lower bound of the time of arrival, in milliseconds since the epoch. After a pause of the
 *     process, this is the last time at which the request was known not to have arrived on the connection.
 * @param keyIssuedAtMillis when the key was issued, or {@link IssueTimes#UNKNOWN}
 * @param answerDeadlineMillis until when the caller waits for an answer, in milliseconds since the epoch
 */
public record ClaimCall(ClaimKey key, long arrivedAtMillis, long keyIssuedAtMillis, long answerDeadlineMillis) {

    long dispatchLimitMillis(ClaimSettings settings) {
        return arrivedAtMillis + settings.dispatchMillis();
    }

    long dispatchDeadlineMillis(ClaimSettings settings) {
        return Math.min(dispatchLimitMillis(settings), answerDeadlineMillis);
    }

    /** Reserves time to confirm an abort before the answer deadline of the caller. */
    long claimDeadlineMillis(ClaimSettings settings) {
        long timeoutMillis = answerDeadlineMillis - arrivedAtMillis;
        long confirmStartMillis = answerDeadlineMillis - Math.min(settings.confirmMillis(), timeoutMillis / 2);
        return Math.min(dispatchDeadlineMillis(settings), confirmStartMillis);
    }
}
