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
 * All shares of workspace budgets that one host owns as a home host. It errs toward granting nothing: without the epoch
 * lease, for an epoch whose sheet it has not got, and for a share that an unsettled epoch adds.
 *
 * <pre>{@code
 * budgets.onSheet(sheet, view, now);
 * BudgetGrant reply = budgets.take(message, view, now);
 * }</pre>
 */
public final class HomeBudgets {

    private final HostId self;
    private final long memoryId;
    private final int maxHomes;
    private final Map<WorkspaceId, HomeBudget> budgets = new HashMap<>();
    private final Map<WorkspaceId, List<HostId>> homes = new HashMap<>();
    private SheetVersion version = SheetVersion.NONE;
    private HostEpoch epoch = HostEpoch.NONE;
    private long leaseSeenUntilMillis;
    private long lastGrantNumber;

    /**
     * Starts with no budget.
     *
     * @param self this host
     * @param memoryId unlike that of any earlier memory of this host, also after a restart of the duty thread alone;
     *     for example 64 random bits
     */
    public HomeBudgets(HostId self, long memoryId) {
        this(self, memoryId, LimitTerms.MAX_HOMES);
    }

    /**
     * Starts with no budget and a given number of home hosts, which must be the same on all hosts.
     *
     * @param self this host
     * @param memoryId unlike that of any earlier memory of this host
     * @param maxHomes from 1 to {@link LimitTerms#MAX_HOMES}
     */
    public HomeBudgets(HostId self, long memoryId, int maxHomes) {
        this.self = self;
        this.memoryId = memoryId;
        this.maxHomes = maxHomes;
    }

    /**
     * Applies an accepted sheet. Shares shrink at once; they grow when the epoch is settled.
     *
     * @param sheet the sheet, newer than the one before
     * @param view the epoch that belongs to this sheet
     * @param nowMillis the current time
     */
    public void onSheet(Sheet sheet, EpochView view, long nowMillis) {
        observe(view);
        long creditUntilMillis = Math.min(nowMillis, leaseSeenUntilMillis);
        boolean sameEpoch = view.current().epoch().equals(epoch);
        // A host that skipped a sheet may have skipped an epoch in which other hosts owned its share.
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
            budget.apply(terms, target, keepShares, blocked, creditUntilMillis, nowMillis);
        }
        version = sheet.version();
        epoch = view.current().epoch();
        if (!sameEpoch) {
            leaseSeenUntilMillis = view.leaseDeadlineMillis();
        }
    }

    /**
     * Notes how long the lease runs, which decides how much an old share refills when the next epoch takes it away.
     *
     * @param view the present view
     */
    public void observe(EpochView view) {
        if (view.current().epoch().equals(epoch)) {
            leaseSeenUntilMillis = Math.max(leaseSeenUntilMillis, view.leaseDeadlineMillis());
        }
    }

    /**
     * Answers a request for budget.
     *
     * @param take the request
     * @param view the present view
     * @param nowMillis the current time
     * @return the reply, which grants between 0 and the requested tokens
     */
    public BudgetGrant take(BudgetTake take, EpochView view, long nowMillis) {
        observe(view);
        GrantId id = new GrantId(memoryId, ++lastGrantNumber);
        HomeBudget budget = budgets.get(take.workspace());
        if (budget == null || !mayAct(view, nowMillis)) {
            return new BudgetGrant(take.ask(), id, 0, 0, 0);
        }
        budget.refill(view, nowMillis);
        long granted = budget.take(take.tokens(), id.number());
        return new BudgetGrant(
                take.ask(), id, granted, budget.levelTokens(), budget.terms().validityMillis());
    }

    /**
     * Takes back what was not used of a grant, as far as it could not have overflowed the bucket since the grant.
     *
     * @param giveBack the return; one that names an unknown grant or one that was returned already has no effect
     * @param view the present view
     * @param nowMillis the current time
     */
    public void giveBack(BudgetReturn giveBack, EpochView view, long nowMillis) {
        observe(view);
        HomeBudget budget = budgets.get(giveBack.workspace());
        if (budget == null || giveBack.grant().memoryId() != memoryId) {
            return;
        }
        if (mayAct(view, nowMillis)) {
            budget.refill(view, nowMillis);
        }
        budget.giveBack(giveBack.grant().number(), giveBack.tokens());
    }

    /**
     * Tells what a share holds.
     *
     * @param workspace the workspace
     * @param view the present view
     * @param nowMillis the current time
     * @return tokens that a take would find; 0 if this host is not a home host of the workspace or may not act
     */
    public long levelTokens(WorkspaceId workspace, EpochView view, long nowMillis) {
        observe(view);
        HomeBudget budget = budgets.get(workspace);
        if (budget == null || !mayAct(view, nowMillis)) {
            return 0;
        }
        budget.refill(view, nowMillis);
        return budget.levelTokens();
    }

    private boolean mayAct(EpochView view, long nowMillis) {
        return view.current().epoch().equals(epoch) && view.holdsLease(nowMillis);
    }
}
