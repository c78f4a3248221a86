package org.guavathread.bench.limits;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.limit.BudgetRequester;
import org.guavathread.core.limit.BudgetReturn;
import org.guavathread.core.limit.BudgetTake;
import org.guavathread.core.limit.HomeBudgets;
import org.guavathread.core.limit.LimitAction;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.Sheet;

/** The design of the project: budget that is granted by up to a given number of home hosts. */
final class HomeHostPolicy implements LimitPolicy {

    private final HomeBudgets budgets;
    private final BudgetRequester requester;

    HomeHostPolicy(HostId host, long instanceId, int maxHomes) {
        budgets = new HomeBudgets(host, instanceId, maxHomes);
        requester = new BudgetRequester(host, instanceId, budgets, maxHomes);
    }

    @Override
    public void onSheet(Sheet sheet, EpochView view, long nowMillis) {
        budgets.onSheet(sheet, view, nowMillis);
        requester.onSheet(sheet, view, nowMillis);
    }

    @Override
    public List<LimitAction> submit(BudgetRequest request, EpochView view, long nowMillis) {
        return requester.submit(request, view, nowMillis);
    }

    @Override
    public List<LimitAction> onMessage(HostId from, PeerMessage message, EpochView view, long nowMillis) {
        if (message instanceof BudgetTake take) {
            return List.of(new LimitAction.Send(from, budgets.take(take, view, nowMillis)));
        }
        if (message instanceof BudgetGrant grant) {
            return requester.onGrant(from, grant, view, nowMillis);
        }
        budgets.giveBack((BudgetReturn) message, view, nowMillis);
        return List.of();
    }

    @Override
    public List<LimitAction> onWake(EpochView view, long nowMillis) {
        return requester.onWake(view, nowMillis);
    }

    @Override
    public long nextWakeAtMillis() {
        return requester.nextWakeAtMillis();
    }

    @Override
    public List<LimitAction> onEnd(RequestId request, long unusedTokens, EpochView view, long nowMillis) {
        return requester.onEnd(request, unusedTokens, view, nowMillis);
    }
}
