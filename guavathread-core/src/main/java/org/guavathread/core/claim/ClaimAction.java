package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RunState;

/** What the shell must do for a {@link ClaimCoordinator}. */
public sealed interface ClaimAction {

    /**
     * Sends a message; the receiver may be this host.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(HostId to, PeerMessage message) implements ClaimAction {}

    /**
     * Charges and connects, then asks {@link ClaimCoordinator#mayDispatch} and sends the request.
     *
     * @param attempt the attempt that holds the key
     * @param dispatchDeadlineMillis until when the request may be sent
     */
    record Dispatch(AttemptId attempt, long dispatchDeadlineMillis) implements ClaimAction {}

    /**
     * Answers the caller with a refusal.
     *
     * @param refusal the refusal
     * @param notRunDeadlineMillis until when a {@code not_run} may be told
     */
    record Refuse(Refusal refusal, long notRunDeadlineMillis) implements ClaimAction {

        /**
         * Gives the refusal to write. A shell that was paused past the deadline must not say {@code not_run} any more,
         * because a request that arrived in the meantime may run.
         *
         * @param nowMillis the current time, read immediately before the answer is written
         * @return the refusal, {@code unknown} after the deadline
         */
        public Refusal at(long nowMillis) {
            if (refusal.run() == RunState.UNKNOWN || nowMillis <= notRunDeadlineMillis) {
                return refusal;
            }
            return Refusal.unknown(refusal.code(), refusal.message()).retryAfter(refusal.retryAfterMillis());
        }
    }

    /**
     * Answers the caller with an outcome that has an answer.
     *
     * @param outcome the outcome
     */
    record Relay(ClaimOutcome outcome) implements ClaimAction {}

    /**
     * Calls {@link ClaimCoordinator#timer} at a time; replaces the time of an earlier action of this type.
     *
     * @param atMillis the time
     */
    record WaitUntil(long atMillis) implements ClaimAction {}
}
