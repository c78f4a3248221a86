package org.guavathread.core.placement;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;

/** What the caller must do after an event of a {@link PlacementCell}. */
public sealed interface PlacementAction {

    /**
     * Sends a reply to the host that asked.
     *
     * @param to the host
     * @param reply a grant or a refusal
     */
    record Reply(HostId to, PlaceReply reply) implements PlacementAction {}

    /**
     * Cancels a request on an engine; an engine that does not know the request ignores it.
     *
     * @param engine the engine
     * @param request the request
     */
    record CancelEngineRequest(BackendServerId engine, RequestId request) implements PlacementAction {}

    /**
     * Calls {@link PlacementCell#timer} at the given time. Replaces the time of the previous action of this type.
     *
     * @param atMillis the time
     */
    record WakeAt(long atMillis) implements PlacementAction {}
}
