package org.guavathread.core.dispatch;

import org.guavathread.core.id.BackendServerId;

/** How far a request may fill the memory of engines. */
@FunctionalInterface
public interface RoomLimit {

    /** Memory utilisation above which an engine is not a candidate: answers that outgrow it preempt others. */
    double MAX_UTILISATION = 0.9;

    /** The limit of requests for which the room of all engines is free. */
    RoomLimit NONE_KEPT = engine -> MAX_UTILISATION;

    /**
     * Returns up to which utilisation a request may fill an engine.
     *
     * @param engine the engine
     * @return utilisation that includes the request
     */
    double maxUtilisation(BackendServerId engine);
}
