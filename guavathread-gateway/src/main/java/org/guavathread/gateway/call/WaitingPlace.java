package org.guavathread.gateway.call;

import org.guavathread.core.dispatch.CostOrder;
import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.FairAdmissionQueue;
import org.guavathread.core.dispatch.FairAdmissionQueue.Lane;
import org.guavathread.core.routing.WorkspaceTerms;

/** Derives the place of a language request in the admission queue from what its caller asked for. */
final class WaitingPlace {

    /** Queue timeout as a multiple of the route's target latency; callers leave after four targets without an event. */
    private static final double QUEUE_TIMEOUT_TARGETS = 3;

    /** Share of the target within which a request must get capacity to be on time; the prefill takes the rest. */
    private static final double ON_TIME_SHARE = 0.5;

    private WaitingPlace() {}

    /** Returns the place of a request whose caller has waited since a time. */
    static FairAdmissionQueue.Attributes of(
            AdmittedRequest admitted, EngineWork work, boolean isContinuation, long waitsSinceMillis) {
        long arrivedAtMillis = admitted.exchange().arrivedAtMillis();
        long targetMillis = admitted.rule().targetMillis();
        long giveUpAtMillis = Math.min(
                waitsSinceMillis + (long) (QUEUE_TIMEOUT_TARGETS * targetMillis),
                admitted.deadlineMillis() - targetMillis);
        CostOrder.Standing standing = CostOrder.Standing.arrivedAt(arrivedAtMillis)
                .priority(admitted.priority())
                .workspace(admitted.workspace().map(WorkspaceTerms::id))
                .until(arrivedAtMillis + (long) (ON_TIME_SHARE * targetMillis), giveUpAtMillis)
                .work(work.occupiedTokens())
                .build();
        return new FairAdmissionQueue.Attributes(standing, isContinuation ? Lane.CONTINUATION : Lane.NEW);
    }
}
