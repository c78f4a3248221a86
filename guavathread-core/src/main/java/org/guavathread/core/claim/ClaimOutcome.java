package org.guavathread.core.claim;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.message.PeerMessage;

/**
 * The outcome of a dispatched attempt. The coordinator of the attempt sends it to the voters of the key.
 *
 * @param key the key
 * @param attempt the attempt
 * @param status whether there is an answer
 * @param httpStatus HTTP status of the answer; 0 without an answer
 * @param answer body of the answer; empty without an answer
 */
public record ClaimOutcome(ClaimKey key, AttemptId attempt, Status status, int httpStatus, byte[] answer)
        implements PeerMessage {

    /** Whether there is an answer. */
    public enum Status {
        /** The answer is attached. */
        ANSWERED,
        /** The backend server answered, but the answer was too large to keep or was evicted. */
        NOT_KEPT,
        /** The backend server failed after the dispatch; the request may have run. */
        FAILED
    }

    /**
     * Copies this outcome without its answer.
     *
     * @return the copy
     */
    public ClaimOutcome withoutAnswer() {
        Status kept = status == Status.ANSWERED ? Status.NOT_KEPT : status;
        return new ClaimOutcome(key, attempt, kept, httpStatus, new byte[0]);
    }
}
