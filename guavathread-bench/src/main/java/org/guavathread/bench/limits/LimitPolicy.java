package org.guavathread.bench.limits;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.limit.LimitAction;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.Sheet;

/** Decides on one host of a simulated fleet which requests are within the limit of their workspace. */
interface LimitPolicy {

    /** Creates the policy of one host, which starts with empty memory. */
    @FunctionalInterface
    interface Factory {
        LimitPolicy create(HostId host, long instanceId, long nowMillis);
    }

    void onSheet(Sheet sheet, EpochView view, long nowMillis);

    List<LimitAction> submit(BudgetRequest request, EpochView view, long nowMillis);

    default List<LimitAction> onMessage(HostId from, PeerMessage message, EpochView view, long nowMillis) {
        return List.of();
    }

    default List<LimitAction> onWake(EpochView view, long nowMillis) {
        return List.of();
    }

    default long nextWakeAtMillis() {
        return Long.MAX_VALUE;
    }

    default List<LimitAction> onEnd(RequestId request, long unusedTokens, EpochView view, long nowMillis) {
        return List.of();
    }
}
