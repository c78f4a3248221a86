package org.guavathread.core.placement;

import java.util.Optional;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;

/**
 * Answers a {@link PlaceRequest} with either a grant or a refusal.
 *
 * @param request the request
 * @param grant the grant, or empty
 * @param refusal the refusal, or empty
 * @param waitMillis estimated wait in the queue of the cell, used to choose among cells
 */
public record PlaceReply(RequestId request, Optional<Grant> grant, Optional<Refusal> refusal, long waitMillis)
        implements PeerMessage {

    /**
     * Creates a reply with a grant.
     *
     * @param request the request
     * @param grant its engines
     * @param waitMillis estimated wait in the queue of the cell
     * @return the reply
     */
    public static PlaceReply granted(RequestId request, Grant grant, long waitMillis) {
        return new PlaceReply(request, Optional.of(grant), Optional.empty(), waitMillis);
    }

    /**
     * Creates a reply with a refusal.
     *
     * @param request the request
     * @param refusal the refusal
     * @param waitMillis estimated wait in the queue of the cell
     * @return the reply
     */
    public static PlaceReply refused(RequestId request, Refusal refusal, long waitMillis) {
        return new PlaceReply(request, Optional.empty(), Optional.of(refusal), waitMillis);
    }
}
