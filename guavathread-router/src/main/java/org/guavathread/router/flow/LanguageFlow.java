package org.guavathread.router.flow;

import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.metrics.WorkspaceUsage;
import org.guavathread.router.service.LimitService;
import org.guavathread.router.service.PlacementService;
import org.guavathread.router.service.RetryService;

/** Runs language requests: admits each against its budget, then starts a {@link LanguageRun} that places and runs it. */
public final class LanguageFlow {

    private final FleetState fleet;
    private final LimitService limits;
    private final ActiveRequests active;
    private final WorkspaceUsage usage;
    private final LanguageRun.Services services;

    /**
     * Builds the flow.
     *
     * @param fleet the current view of the fleet
     * @param limits takes tokens from budgets
     * @param placement reserves engines
     * @param retries decides about retries
     * @param backends the adapters of engines
     * @param active the requests in progress
     * @param metrics counts outcomes
     * @param usage counts admitted and refused requests of each workspace
     * @param clock source of the time
     */
    public LanguageFlow(
            FleetState fleet,
            LimitService limits,
            PlacementService placement,
            RetryService retries,
            BackendRegistry backends,
            ActiveRequests active,
            RouterMetrics metrics,
            WorkspaceUsage usage,
            Clock clock) {
        this.fleet = fleet;
        this.limits = limits;
        this.active = active;
        this.usage = usage;
        this.services = new LanguageRun.Services(limits, placement, retries, backends, metrics, clock);
    }

    void run(RequestContext context) {
        LanguageRequest request;
        try {
            request = LanguageRequest.parse(
                    context.exchange().body(), context.route(), fleet.now().sheet());
        } catch (LanguageRequest.MalformedException e) {
            RefusalCode code = e.isUnknownModel() ? RefusalCode.NO_MODEL : RefusalCode.BAD_REQUEST;
            context.refuseAsStated(Refusal.notRun(code, e.getMessage()));
            return;
        }
        if (services.retries().isCrashSuspect(request.fingerprint(context.workspace()))) {
            context.refuse(Refusal.notRun(
                    RefusalCode.CRASH_SUSPECT,
                    "Backend servers crashed while they ran this request; change it before you send it again."));
            return;
        }
        LanguageRun run = new LanguageRun(context, request, services);
        if (!active.begin(context, run::cancel)) {
            context.refuse(Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The API key was withdrawn; use another key."));
            return;
        }
        context.exchange().onDisconnect(() -> run.stop("the caller is gone"));
        services.retries().requestStarted();
        admit(context, request, run);
    }

    private void admit(RequestContext context, LanguageRequest request, LanguageRun run) {
        if (!context.isCharged()) {
            run.place();
            return;
        }
        long cost = (long) request.promptTokens() + request.maxTokens();
        BudgetRequest budget = new BudgetRequest(
                context.id(), context.workspace(), cost, context.kind(), context.firstByteDeadlineMillis());
        limits.admit(budget).whenComplete((done, failure) -> {
            if (failure != null) {
                run.refuse(Failures.beforeDispatch(failure));
                return;
            }
            usage.admitted(context.workspace(), cost);
            context.trace("budget of " + cost + " tokens taken");
            run.place();
        });
    }
}
