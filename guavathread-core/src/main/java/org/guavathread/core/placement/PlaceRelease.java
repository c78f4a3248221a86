package org.guavathread.core.placement;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;

/**
 * Gives up a queued request or a reservation.
 *
 * @param request the request
 * @param ending why it ended
 * @param outputTokens how many tokens were generated
 */
public record PlaceRelease(RequestId request, Ending ending, int outputTokens) implements PeerMessage {

    /** Why a request no longer needs its place. */
    public enum Ending {
        /** The whole answer was generated. */
        FINISHED,
        /** The caller left or cancelled. */
        CANCELLED,
        /** The decode engine refused the reservation. */
        DECODE_FULL,
        /** The decode engine broke off or went silent. */
        DECODE_FAILED,
        /** The prefill engine broke off or went silent, or its result was gone before the transfer. */
        PREFILL_FAILED
    }
}
