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

    /** Under the callers' protocol, callers wait at most the remaining time divided by this before they retry. */
    private static final int RETRY_DELAY_DIVISOR = 3;

    /** Minimum retry delay as a share of the maximum, because bursts last for some seconds. */
    private static final double MIN_RETRY_DELAY_SHARE = 0.5;

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

    /**
     * Returns after which delay a refused caller is to come back.
     *
     * @param remainingMillis for how long the caller waits
     * @param latestMillis delay after which its answer would end too late
     * @param draw a random number from 0 (included) to 1 (excluded)
     */
    static long retryDelayMillis(long remainingMillis, long latestMillis, double draw) {
        double share = MIN_RETRY_DELAY_SHARE + (1 - MIN_RETRY_DELAY_SHARE) * draw;
        return (long) (share * Math.min(remainingMillis / RETRY_DELAY_DIVISOR, latestMillis));
    }
}
