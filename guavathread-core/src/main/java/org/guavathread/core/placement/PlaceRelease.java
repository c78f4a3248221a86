package org.guavathread.core.placement;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;

/**
 * Releases a queued request or a reservation.
 *
 * @param request the request
 * @param ending why it ended
 * @param outputTokens number of generated tokens
 */
public record PlaceRelease(RequestId request, Ending ending, int outputTokens) implements PeerMessage {

    /** Why a request no longer needs its queue position or reservation. */
    public enum Ending {
        /** The whole answer was generated. */
        FINISHED,
        /** The caller disconnected or cancelled. */
        CANCELLED,
        /** The decode engine refused the reservation. */
        DECODE_FULL,
        /** The decode engine closed the connection early or stopped responding. */
        DECODE_FAILED,
        /** The prefill engine failed in one of these ways, or its result was gone before the transfer. */
        PREFILL_FAILED
    }
}
