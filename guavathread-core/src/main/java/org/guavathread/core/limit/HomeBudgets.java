package org.guavathread.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/**
 * The shares of workspace budgets that one host owns as a home host. It grants nothing without the epoch lease, for an
 * epoch whose sheet it does not have, or from a share that an unsettled epoch adds.
 *
 * <pre>{@code
 * budgets.onSheet(sheet, view, now);
 * BudgetGrant reply = budgets.take(message, view, now);
 * }</pre>
 */
public final class HomeBudgets {

    private final HostId self;
    private final long instanceId;
    private final int maxHomes;
    private final Map<WorkspaceId, HomeBudget> budgets = new HashMap<>();
    private final Map<WorkspaceId, List<HostId>> homes = new HashMap<>();
    private SheetVersion version = SheetVersion.NONE;
    private HostEpoch epoch = HostEpoch.NONE;
    private long lastLeaseDeadlineMillis;
    private long lastGrantNumber;

    /**
     * Creates an instance without budgets.
     *
     * @param self this host
     * @param instanceId identifies this instance of the budget state; never used before by this host, not even before a
     *     restart of the duty thread alone; for example 64 random bits
     */
    public HomeBudgets(HostId self, long instanceId) {
        this(self, instanceId, LimitTerms.MAX_HOMES);
    }

    /**
     * Starts with no budget and a given number of home hosts, which must be the same on all hosts.
     *
     * @param self this host
     * @param instanceId identifies this instance of the budget state; never used before by this host
     * @param maxHomes maximum number of home hosts of a workspace, from 1 to {@link LimitTerms#MAX_HOMES}
     */
    public HomeBudgets(HostId self, long instanceId, int maxHomes) {
        this.self = self;
        this.instanceId = instanceId;
        this.maxHomes = maxHomes;
    }

    /**
     * Applies an accepted sheet. Shares shrink immediately and grow when the epoch is settled.
     *
     * @param sheet the sheet, newer than the previous one
     * @param view the epoch that belongs to this sheet
     * @param nowMillis the current time
     */
    public void onSheet(Sheet sheet, EpochView view, long nowMillis) {
        observe(view);
        long refillUntilMillis = Math.min(nowMillis, lastLeaseDeadlineMillis);
        boolean sameEpoch = view.current().epoch().equals(epoch);
        // After a skipped sheet, other hosts may have owned this share in an epoch that this host did not see.
        boolean keepShares = sameEpoch || sheet.version().value() == version.value() + 1;
        budgets.keySet().retainAll(sheet.workspaces().keySet());
        homes.keySet().retainAll(sheet.workspaces().keySet());
        for (Workspace workspace : sheet.workspaces().values()) {
            List<HostId> newHomes = HomeHosts.of(workspace, sheet, view.current(), maxHomes);
            List<HostId> oldHomes = homes.put(workspace.id(), newHomes);
            boolean movedInEpoch = sameEpoch && oldHomes != null && !oldHomes.equals(newHomes);
            int target = newHomes.contains(self) ? LimitTerms.WHOLE_SHARE / newHomes.size() : 0;
            LimitTerms terms = LimitTerms.of(workspace);
            HomeBudget budget = budgets.get(workspace.id());
            if (target == 0) {
                budgets.remove(workspace.id());
                continue;
            }
            if (budget == null) {
                budget = new HomeBudget(terms, nowMillis);
                budgets.put(workspace.id(), budget);
            }
            boolean blocked = movedInEpoch || sameEpoch && budget.isGrowthBlocked();
            budget.apply(terms, target, keepShares, blocked, refillUntilMillis, nowMillis);
        }
        version = sheet.version();
        epoch = view.current().epoch();
        if (!sameEpoch) {
            lastLeaseDeadlineMillis = view.leaseDeadlineMillis();
        }
    }

    /**
     * Records the end of the lease, which limits the refill of a share that the next epoch removes or reduces.
     *
     * @param view the current view
     */
    public void observe(EpochView view) {
        if (view.current().epoch().equals(epoch)) {
            lastLeaseDeadlineMillis = Math.max(lastLeaseDeadlineMillis, view.leaseDeadlineMillis());
        }
    }

    /**
     * Handles a take.
     *
     * @param take the take
     * @param view the current view
     * @param nowMillis the current time
     * @return the reply, which grants between 0 and the requested tokens
     */
    public BudgetGrant take(BudgetTake take, EpochView view, long nowMillis) {
        observe(view);
        GrantId id = new GrantId(instanceId, ++lastGrantNumber);
        HomeBudget budget = budgets.get(take.workspace());
        if (budget == null || !mayGrant(view, nowMillis)) {
            return new BudgetGrant(take.id(), id, 0, 0, 0);
        }
        budget.refill(view, nowMillis);
        long granted = budget.take(take.tokens(), id.number());
        return new BudgetGrant(
                take.id(), id, granted, budget.levelTokens(), budget.terms().validityMillis());
    }

    /**
     * Handles the return of unused tokens. Restores only what could not have overflowed the bucket since the grant.
     *
     * @param giveBack the return; it has no effect if the grant is unknown or was already returned
     * @param view the current view
     * @param nowMillis the current time
     */
    public void giveBack(BudgetReturn giveBack, EpochView view, long nowMillis) {
        observe(view);
        HomeBudget budget = budgets.get(giveBack.workspace());
        if (budget == null || giveBack.grant().instanceId() != instanceId) {
            return;
        }
        if (mayGrant(view, nowMillis)) {
            budget.refill(view, nowMillis);
        }
        budget.giveBack(giveBack.grant().number(), giveBack.tokens());
    }

    /**
     * Returns the level of a share.
     *
     * @param workspace the workspace
     * @param view the current view
     * @param nowMillis the current time
     * @return tokens available to a take; 0 if this host is not a home host of the workspace or is not allowed to grant
     */
    public long levelTokens(WorkspaceId workspace, EpochView view, long nowMillis) {
        observe(view);
        HomeBudget budget = budgets.get(workspace);
        if (budget == null || !mayGrant(view, nowMillis)) {
            return 0;
        }
        budget.refill(view, nowMillis);
        return budget.levelTokens();
    }

    private boolean mayGrant(EpochView view, long nowMillis) {
        return view.current().epoch().equals(epoch) && view.holdsLease(nowMillis);
    }
}
