package org.guavathread.router.flow;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.claim.ClaimCall;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.IssueTimes;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.placement.ServiceSelector;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.retry.Fingerprint;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.backend.PlainService;
import org.guavathread.router.backend.ServiceAnswer;
import org.guavathread.router.backend.ServiceCall;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.metrics.WorkspaceUsage;
import org.guavathread.router.service.ClaimService;
import org.guavathread.router.service.LimitService;
import org.guavathread.router.service.RetryService;

/** Runs calls of plain services: claims the idempotency key if the call has one, admits, calls, and retries if allowed. */
public final class PlainFlow {

    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 256;

    private final FleetState fleet;
    private final LimitService limits;
    private final ClaimService claims;
    private final RetryService retries;
    private final BackendRegistry backends;
    private final ServiceSelector selector;
    private final ActiveRequests active;
    private final WorkspaceUsage usage;
    private final Clock clock;

    /**
     * Builds the flow.
     *
     * @param fleet the current view of the fleet
     * @param limits takes tokens from budgets
     * @param claims claims idempotency keys
     * @param retries decides about retries
     * @param backends the adapters of plain services
     * @param selector picks a backend server; guarded by its isOwnAnswer monitor
     * @param active the requests in progress
     * @param usage counts admitted and refused requests of each workspace
     */
    public PlainFlow(
            FleetState fleet,
            LimitService limits,
            ClaimService claims,
            RetryService retries,
            BackendRegistry backends,
            ServiceSelector selector,
            ActiveRequests active,
            WorkspaceUsage usage,
            Clock clock) {
        this.fleet = fleet;
        this.limits = limits;
        this.claims = claims;
        this.retries = retries;
        this.backends = backends;
        this.selector = selector;
        this.active = active;
        this.usage = usage;
        this.clock = clock;
    }

    void run(RequestContext context) {
        Optional<String> key = context.idempotencyKey();
        if (context.kind() == RequestKind.NON_REPEATABLE
                && key.isEmpty()
                && context.route().requireIdempotencyKey()) {
            context.refuse(Refusal.notRun(
                    RefusalCode.IDEMPOTENCY_KEY_MISSING,
                    "Route " + context.route().id() + " needs the header Idempotency-Key; send a new UUIDv7 for each"
                            + " request and the same one on each resend."));
            return;
        }
        if (fingerprint(context).filter(retries::isCrashSuspect).isPresent()) {
            context.refuse(Refusal.notRun(
                    RefusalCode.CRASH_SUSPECT,
                    "Backend servers crashed while they ran this request; change it before you send it again."));
            return;
        }
        if (!active.begin(context, () -> limits.cancel(context.id()))) {
            context.refuse(Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The API key was withdrawn; use another key."));
            return;
        }
        // Refunds the whole charge of a call that was not dispatched; has no effect on an uncharged one.
        context.onEnd(() -> limits.end(
                context.id(), context.isDispatched() ? 0 : context.route().costTokens()));
        retries.requestStarted();
        if (key.isPresent()) {
            claim(context, key.get());
            return;
        }
        context.exchange().onDisconnect(() -> limits.cancel(context.id()));
        admit(context).whenComplete((done, failure) -> {
            if (failure != null) {
                context.refuse(Failures.beforeDispatch(failure));
            } else {
                call(context, new HashSet<>());
            }
        });
    }

    private CompletableFuture<Void> admit(RequestContext context) {
        if (!context.isCharged()) {
            return CompletableFuture.completedFuture(null);
        }
        int cost = context.route().costTokens();
        BudgetRequest request = new BudgetRequest(
                context.id(), context.workspace(), cost, context.kind(), context.firstByteDeadlineMillis());
        return limits.admit(request).thenRun(() -> {
            usage.admitted(context.workspace(), cost);
            context.trace("budget of " + cost + " tokens taken");
        });
    }

    /** Calls one backend server. After a failure, tries another if nothing was sent or if the kind allows a retry. */
    private void call(RequestContext context, Set<BackendServerId> tried) {
        long now = clock.nowMillis();
        if (now >= context.firstByteDeadlineMillis()) {
            context.refuse(context.deadlinePassed());
            return;
        }
        Optional<BackendServer> chosen = choose(context, tried, now);
        if (chosen.isEmpty()) {
            context.refuse(Refusal.notRun(
                    tried.isEmpty() ? RefusalCode.NO_ROOM : RefusalCode.BACKEND_FAILED,
                    "No backend server of route " + context.route().id() + " is left to try; check the sheet."));
            return;
        }
        BackendServerId server = chosen.get().id();
        tried.add(server);
        boolean sentBefore = context.isDispatched();
        if (!context.beginDispatch()) {
            synchronized (selector) {
                selector.ended(server, false, now);
            }
            return;
        }
        send(context, server, context.firstByteDeadlineMillis()).whenComplete((answer, failure) -> {
            if (failure == null) {
                context.answer(answer.status(), headersOf(answer), answer.body());
            } else {
                if (!sentBefore && Failures.isNotSent(failure)) {
                    context.revertDispatch();
                }
                handleFailure(context, server, tried, failure);
            }
        });
    }

    private void handleFailure(
            RequestContext context, BackendServerId server, Set<BackendServerId> tried, Throwable failure) {
        context.trace(
                "call of " + server + " failed: " + Failures.causeOf(failure).getMessage());
        if (Failures.isNotSent(failure)) {
            call(context, tried);
            return;
        }
        if (retries.tryRetry(context.id(), context.kind())) {
            call(context, tried);
            return;
        }
        boolean repeatable = context.kind().isRepeatable();
        context.refuse(Refusal.unknown(
                repeatable ? RefusalCode.BACKEND_FAILED : RefusalCode.OUTCOME_UNKNOWN,
                "Backend server " + server + " did not answer; "
                        + (repeatable ? "send the request again." : "check whether the request took effect.")));
    }

    private void claim(RequestContext context, String key) {
        long issuedAt;
        try {
            checkKeyLength(key);
            issuedAt = IssueTimes.of(
                    key, context.exchange().header("Idempotency-Issued-At").orElse(null));
        } catch (IllegalArgumentException e) {
            context.refuseAsStated(Refusal.notRun(RefusalCode.BAD_REQUEST, e.getMessage()));
            return;
        }
        ClaimKey claimKey = new ClaimKey(context.workspace(), context.route().id(), new IdempotencyKey(key));
        ClaimCall call = new ClaimCall(
                claimKey, context.exchange().arrivedAtMillis(), issuedAt, context.firstByteDeadlineMillis());
        claims.start(call, new ClaimedCall(context));
    }

    private static void checkKeyLength(String key) {
        if (key.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw new IllegalArgumentException("The Idempotency-Key has " + key.length() + " characters; at most "
                    + MAX_IDEMPOTENCY_KEY_LENGTH + " are allowed.");
        }
    }

    private Optional<BackendServer> choose(RequestContext context, Set<BackendServerId> tried, long nowMillis) {
        List<BackendServer> candidates = context.route().backendServers().stream()
                .map(fleet.now().sheet().backendServers()::get)
                .filter(Objects::nonNull)
                .toList();
        synchronized (selector) {
            Optional<BackendServer> chosen = selector.choose(candidates, tried, nowMillis);
            chosen.ifPresent(s -> selector.started(s.id()));
            return chosen;
        }
    }

    private CompletableFuture<ServiceAnswer> send(
            RequestContext context, BackendServerId server, long sendDeadlineMillis) {
        context.trace("calling " + server);
        ServiceCall call = new ServiceCall(
                context.id(),
                context.exchange().method(),
                context.exchange().path() + context.exchange().query(),
                headersFor(context),
                context.exchange().body(),
                context.kind().isRepeatable(),
                sendDeadlineMillis,
                context.firstByteDeadlineMillis());
        Optional<PlainService> service = backends.service(server);
        CompletableFuture<ServiceAnswer> answer = service.isPresent()
                ? service.get().call(call)
                : CompletableFuture.failedFuture(
                        new IllegalStateException("Backend server " + server + " is not in the sheet in force."));
        return answer.whenComplete((done, failure) -> {
            synchronized (selector) {
                selector.ended(server, failure != null, clock.nowMillis());
            }
            if (Failures.isConnectionLost(failure)) {
                fingerprint(context).ifPresent(f -> retries.connectionLost(server, f));
            }
        });
    }

    /**
     * Gives the fingerprint by which resends of a request are recognised. Requests without a body have none: otherwise a
     * lookup that all callers send would be refused after two crashes with another cause.
     */
    private static Optional<Fingerprint> fingerprint(RequestContext context) {
        byte[] body = context.exchange().body();
        String target = context.workspace() + " " + context.route().id()
                + context.exchange().query();
        return body.length == 0 ? Optional.empty() : Optional.of(LanguageRequest.fingerprint(target, body));
    }

    private static Map<String, String> headersFor(RequestContext context) {
        Map<String, String> headers = new java.util.HashMap<>();
        for (String name : List.of("Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "Traceparent")) {
            context.exchange().header(name).ifPresent(value -> headers.put(name, value));
        }
        headers.put("Guavathread-Workspace", context.workspace().value());
        return headers;
    }

    private static Map<String, String> headersOf(ServiceAnswer answer) {
        Map<String, String> headers = new java.util.LinkedHashMap<>();
        answer.headers().forEach((name, values) -> headers.put(name, String.join(", ", values)));
        return headers;
    }

    /** A call with an idempotency key, from the grant of its claim to its answer. */
    private final class ClaimedCall implements ClaimService.ClaimedWork {

        private final RequestContext context;
        private final Set<BackendServerId> tried = new HashSet<>();
        private volatile Map<String, String> answerHeaders;
        private CompletableFuture<Void> admission;

        ClaimedCall(RequestContext context) {
            this.context = context;
        }

        @Override
        public void granted(ClaimService.Handle handle) {
            context.trace("claim granted");
            if (context.exchange().isFinished()) {
                handle.withdraw(context.deadlinePassed());
                return;
            }
            if (admission == null) {
                admission = admit(context);
            }
            admission.whenComplete((done, failure) -> {
                if (failure != null) {
                    handle.withdraw(Failures.beforeDispatch(failure));
                } else {
                    handle.dispatch(() -> sendOnce(handle));
                }
            });
        }

        @Override
        public void refused(Refusal refusal) {
            context.refuseAsStated(refusal);
        }

        @Override
        public void relayed(ClaimOutcome outcome) {
            boolean isOwnAnswer = answerHeaders != null;
            Map<String, String> headers = isOwnAnswer
                    ? answerHeaders
                    : Map.of("Content-Type", "application/json", "Guavathread-Replayed", "true");
            context.trace(isOwnAnswer ? "relaying the answer" : "relaying the answer of attempt " + outcome.attempt());
            context.answer(outcome.httpStatus(), headers, outcome.answer());
        }

        /** Sends the call; tries another backend server only if nothing was sent to the previous one. */
        private void sendOnce(ClaimService.Handle handle) {
            long now = clock.nowMillis();
            // A chosen server counts as busy until its call ends, so none is chosen after the deadline.
            boolean inTime = now < context.firstByteDeadlineMillis();
            Optional<BackendServer> chosen = inTime ? choose(context, tried, now) : Optional.empty();
            if (chosen.isEmpty()) {
                handle.failed(Refusal.unknown(
                        RefusalCode.BACKEND_FAILED,
                        "No backend server of route " + context.route().id() + " could be reached."));
                return;
            }
            BackendServerId server = chosen.get().id();
            tried.add(server);
            context.markDispatched();
            send(context, server, context.firstByteDeadlineMillis()).whenComplete((answer, failure) -> {
                if (failure == null) {
                    answerHeaders = headersOf(answer);
                    handle.answered(answer.status(), answer.body());
                } else if (Failures.isNotSent(failure)) {
                    sendOnce(handle);
                } else {
                    handle.failed(Refusal.unknown(
                            RefusalCode.OUTCOME_UNKNOWN,
                            "Backend server " + server + " did not answer; check whether the request took effect."));
                }
            });
        }
    }
}
