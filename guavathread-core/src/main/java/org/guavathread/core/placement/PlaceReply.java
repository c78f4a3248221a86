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
 */
public record PlaceReply(RequestId request, Optional<Grant> grant, Optional<Refusal> refusal) implements PeerMessage {

    /**
     * Builds a reply that grants.
     *
     * @param request the request
     * @param grant its engines
     * @return the reply
     */
    public static PlaceReply granted(RequestId request, Grant grant) {
        return new PlaceReply(request, Optional.of(grant), Optional.empty());
    }

    /**
     * Builds a reply that refuses.
     *
     * @param request the request
     * @param refusal why
     * @return the reply
     */
    public static PlaceReply refused(RequestId request, Refusal refusal) {
        return new PlaceReply(request, Optional.empty(), Optional.of(refusal));
    }
}
