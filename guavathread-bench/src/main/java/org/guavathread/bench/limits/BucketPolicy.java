package org.guavathread.bench.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.limit.LimitAction;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/** Baseline for comparison: each host has a token bucket of its own, with the whole rate or an equal share of it. */
final class BucketPolicy implements LimitPolicy {

    private static final class Bucket {
        private double tokens;
        private long refilledAtMillis;
    }

    private final boolean divided;
    private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
    private Sheet sheet;

    BucketPolicy(boolean divided) {
        this.divided = divided;
    }

    @Override
    public void onSheet(Sheet newSheet, EpochView view, long nowMillis) {
        sheet = newSheet;
    }

    @Override
    public List<LimitAction> submit(BudgetRequest request, EpochView view, long nowMillis) {
        Workspace workspace = sheet.workspaces().get(request.workspace());
        int shares = divided ? sheet.activeHosts().size() : 1;
        double rate = (double) workspace.ratePerSecond() / shares;
        double burst = (double) workspace.burst() / shares;
        Bucket bucket = buckets.computeIfAbsent(request.workspace(), w -> new Bucket());
        bucket.tokens = Math.min(burst, bucket.tokens + rate * (nowMillis - bucket.refilledAtMillis) / 1000);
        bucket.refilledAtMillis = nowMillis;
        if (bucket.tokens < request.tokens()) {
            Refusal refusal = Refusal.notRun(RefusalCode.RATE_LIMITED, "The bucket of this host is empty.");
            return List.of(new LimitAction.Refuse(request.id(), refusal));
        }
        bucket.tokens -= request.tokens();
        return List.of(new LimitAction.Admit(request.id()));
    }
}
