package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RunState;

/** An action that the I/O layer must take for a {@link ClaimCoordinator}. */
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
     * @param notRunDeadlineMillis until when the caller may be told {@code not_run}
     */
    record Refuse(Refusal refusal, long notRunDeadlineMillis) implements ClaimAction {

        /**
         * Returns the refusal to write. A process that was paused past the deadline must no longer answer
         * {@code not_run}, because a request that arrived in the meantime may run.
         *
         * @param nowMillis the current time, read immediately before the answer is written
         * @return the refusal; its run state is {@code unknown} after the deadline
         */
        public Refusal refusalAt(long nowMillis) {
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
     * Calls {@link ClaimCoordinator#timer} at the given time, which replaces that of an earlier action of this type.
     *
     * @param atMillis the time
     */
    record WaitUntil(long atMillis) implements ClaimAction {}
}
