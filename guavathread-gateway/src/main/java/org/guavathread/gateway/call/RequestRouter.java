package org.guavathread.gateway.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.CrashTrait;
import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.QueueDelay;
import org.guavathread.core.dispatch.SendPurpose;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.RouteRule;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.ServiceTerms;
import org.guavathread.core.routing.WorkspaceTerms;
import org.guavathread.gateway.protocol.CallerRequest;
import org.guavathread.router.caller.CallerExchange;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Checks a request (configuration, body size, route, API key, crash suspicion, rate limit) and starts its call. */
public final class RequestRouter {

    /** Retry-After of a host that has no configuration yet; reading the configuration takes about 50 ms. */
    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 300;

    /** Upper bound, before jitter, of the Retry-After of a rate-limited request. */
    private static final long MAX_RATE_LIMIT_RETRY_AFTER_MILLIS = 5_000;

    /** Expected duration of a request of which only the deadline is known. */
    private static final long UNKNOWN_DURATION_MILLIS = Long.MAX_VALUE / 4;

    /** Retry-After of a request that this host has no time to look at. */
    private static final long OVERLOADED_RETRY_AFTER_MILLIS = 1_000;

    /** Exchange of engine load and waiting requests between hosts. */
    public interface FleetLoad {

        /** Called when this host's engine load or its queue of waiting requests has changed. */
        void loadChanged();

        /**
         * Returns the rank of the highest-ranked request that waits for capacity at another host.
         *
         * @return the rank according to the latest reports
         */
        WaitingRank bestWaitingElsewhere();

        /**
         * Returns whether another host serves callers.
         *
         * @return true if a refused caller can go to another host
         */
        boolean othersServe();

        /**
         * Returns whether this host alone may act for a key. Hosts that do not reach each other may disagree.
         *
         * @param key the key
         * @return true if the key is assigned to this host among the ready reachable ones
         */
        boolean decidesFor(String key);
    }

    /** Permits for requests to servers that state a limit or are cold. */
    @FunctionalInterface
    public interface Permits {

        /**
         * Asks whether one request may be sent to a server.
         *
         * @param server the server
         * @param purpose what the request is for
         * @param onResult receives the answer on the event loop's thread; at once if the server has no limit
         */
        void acquire(Worker server, SendPurpose purpose, Consumer<Boolean> onResult);
    }

    /** Software versions of servers at which callers' streams began. */
    public interface Origins {

        /**
         * Records where a stream began.
         *
         * @param attemptId id of the caller attempt that receives its first event
         * @param version version of the server that wrote the event
         * @param expiresAtMillis when the caller stops waiting
         */
        void began(String attemptId, SoftwareVersion version, long expiresAtMillis);

        /**
         * Finds the version at which a stream began that a caller takes up again.
         *
         * @param attemptId id of the attempt that brought its first event, if the caller names one
         * @param service the service that serves the stream
         * @param maxAgeMillis maximum age of the stream, in milliseconds
         * @param onResult receives the version on the event loop's thread; empty if it cannot be known
         */
        void find(
                Optional<String> attemptId,
                ServiceName service,
                long maxAgeMillis,
                Consumer<Optional<SoftwareVersion>> onResult);
    }

    /** The present state of the store, as opposed to what this host has heard of it. */
    @FunctionalInterface
    public interface StoreWord {

        /**
         * Applies the changes that this host has not heard of.
         *
         * @param onDone receives on the event loop's thread whether this host has applied everything that the store had
         *     acknowledged before this call
         */
        void confirm(Consumer<Boolean> onDone);
    }

    private final GatewayContext context;
    private final BackendClient backendClient;
    private final ProcessCheck processCheck;
    private final FleetLoad load;
    private final Permits permits;
    private final Origins origins;
    private final QueueDelay queueDelay = new QueueDelay();
    private final Set<Call> calls = new HashSet<>();
    private final Map<ServiceName, CapacityQueue> capacityQueues = new HashMap<>();
    private final Map<ServiceName, ReturnQueue> returnQueues = new HashMap<>();

    /**
     * Creates the router.
     *
     * @param context components shared by all requests
     * @param load exchanges engine load with other hosts
     * @param permits grants requests to servers that state a limit
     * @param origins knows the software versions at which streams began
     * @param relays the hosts that send requests to servers out of this host's reach
     * @param storeWord asks the store for its present state
     */
    public RequestRouter(
            GatewayContext context,
            FleetLoad load,
            Permits permits,
            Origins origins,
            Relays relays,
            StoreWord storeWord) {
        this.context = context;
        this.load = load;
        this.permits = permits;
        this.origins = origins;
        this.backendClient = new BackendClient(context, relays);
        this.processCheck = new ProcessCheck(context, backendClient, storeWord);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return requests that have not ended
     */
    public int inProgress() {
        return calls.size();
    }

    /** Answers the requests in progress as far as that can be done now, since the process ends. */
    public void endUnfinished() {
        List.copyOf(calls).forEach(Call::hostEnds);
    }

    /**
     * Returns the number of requests that wait for engine capacity.
     *
     * @return waiting requests of all services
     */
    public int waiting() {
        return capacityQueues.values().stream().mapToInt(CapacityQueue::size).sum();
    }

    /**
     * Returns the rank of the highest-ranked request that waits for capacity.
     *
     * @return the rank, over all services
     */
    public WaitingRank bestWaiting() {
        return capacityQueues.values().stream()
                .map(CapacityQueue::bestRank)
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Returns the requests that run or wait, by priority.
     *
     * @return the load of the services whose requests have different priorities
     */
    public List<HostReport.PriorityLoad> priorityLoads() {
        return capacityQueues.values().stream()
                .flatMap(queue -> queue.priorityLoads().stream())
                .toList();
    }

    /**
     * Hands a request over to the event loop, or refuses it at once if the loop has no room for it. May be called on any
     * thread.
     *
     * @param exchange the request
     */
    public void accept(CallerExchange exchange) {
        if (!context.loop().execute(() -> route(exchange))) {
            Refusal refusal = Refusal.notRun(RefusalCode.OVERLOADED, "This host has too many tasks waiting.")
                    .retryAfter(OVERLOADED_RETRY_AFTER_MILLIS);
            Refusals.write(exchange, refusal, context.callerProtocol().headersOf(refusal));
        }
    }

    /**
     * Checks a request and dispatches it, or refuses it.
     *
     * @param exchange the request
     */
    private void route(CallerExchange exchange) {
        CallerRequest request;
        try {
            request = context.callerProtocol().decode(exchange);
        } catch (IllegalArgumentException e) {
            refuse(exchange, "unreadable", Refusal.notRun(RefusalCode.BAD_REQUEST, e.getMessage()));
            return;
        }
        Optional<RoutingTable> table = context.state().table();
        if (table.isEmpty()) {
            Refusal refusal = Refusal.notRun(RefusalCode.ISOLATED, "This host has no configuration yet.");
            refuse(exchange, request.attemptId(), refusal.retryAfter(NO_CONFIGURATION_RETRY_AFTER_MILLIS));
            return;
        }
        int maxBodyBytes = table.get().bounds().maxBodyBytes();
        if (request.body().length > maxBodyBytes) {
            String message = "The body exceeds " + maxBodyBytes + " bytes.";
            refuse(exchange, request.attemptId(), Refusal.notRun(RefusalCode.TOO_LARGE, message));
            return;
        }
        Optional<RouteRule> rule = table.get().route(request.virtualHost(), request.path());
        if (rule.isEmpty()) {
            refuse(
                    exchange,
                    request.attemptId(),
                    Refusal.notRun(
                            RefusalCode.NO_ROUTE,
                            "Version " + table.get().version() + " has no route for this host and path."));
            return;
        }
        Optional<WorkspaceTerms> workspace =
                request.apiKey().flatMap(key -> table.get().workspaceOf(key));
        if (!rule.get().open() && table.get().requiresKeys() && workspace.isEmpty()) {
            RefusalCode code = request.apiKey().isPresent() ? RefusalCode.KEY_UNKNOWN : RefusalCode.KEY_MISSING;
            refuse(exchange, request.attemptId(), Refusal.notRun(code, "The API key is missing or not in force."));
            return;
        }
        admit(exchange, request, rule.get(), workspace, table.get());
    }

    private void admit(
            CallerExchange exchange,
            CallerRequest request,
            RouteRule rule,
            Optional<WorkspaceTerms> workspace,
            RoutingTable table) {
        long now = context.loop().nowMillis();
        long callerDeadlineMillis = AdmittedRequest.callerDeadlineMillis(exchange, request, rule);
        ServiceName service = rule.pick(context.random().nextDouble());
        Optional<Priority> priority = table.priorityOf(service, rule, workspace);
        long arrivedAtMillis = exchange.arrivedAtMillis();
        // Callers of a stream that goes on have received a part of it.
        boolean makesWay = priority.isPresent()
                && request.work().isPresent()
                && request.lastEventId().isEmpty();
        long onTimeUntilMillis = makesWay ? arrivedAtMillis + rule.targetMillis() : Long.MAX_VALUE;
        if (!queueDelay.accepts(arrivedAtMillis, onTimeUntilMillis, callerDeadlineMillis, now)) {
            refuse(exchange, request.attemptId(), queueRefusal(arrivedAtMillis, now));
            return;
        }
        List<CrashTrait> crashTraits = crashTraits(request, workspace);
        Optional<CrashTrait> blamed = context.crashSuspects().blamedOf(crashTraits);
        boolean isCrashTest = blamed.isPresent()
                && load.decidesFor(Long.toHexString(blamed.get().hash()))
                && context.crashSuspects().startTest(crashTraits, now);
        if (blamed.isPresent() && !isCrashTest) {
            Refusal refusal = Refusals.crashSuspect(
                    request, blamed.get(), context.crashSuspects().nextTestMillis(crashTraits) - now);
            refuse(exchange, request.attemptId(), refusal);
            return;
        }
        if (!context.drain().accepts(now, callerDeadlineMillis, expectedMillis(request, rule))) {
            refuse(exchange, request.attemptId(), drainRefusal(now));
            return;
        }
        // One that takes longer than expected is answered while this host can still do so.
        long deadlineMillis = Math.min(callerDeadlineMillis, context.drain().endsAtMillis());
        int tokens = request.work().map(EngineWork::chargedTokens).orElse(0);
        double charge = workspace.map(w -> w.costOf(tokens)).orElse(0.0);
        long waitMillis =
                workspace.map(w -> context.limits().admit(w, charge, now)).orElse(0L);
        if (waitMillis > 0) {
            long retryAfterMillis = Math.min(MAX_RATE_LIMIT_RETRY_AFTER_MILLIS, waitMillis)
                    + (long) (context.random().nextDouble() * waitMillis / 2);
            Refusal refusal =
                    Refusal.notRun(RefusalCode.RATE_LIMITED, rateMessage(workspace.get(), charge, waitMillis));
            refuse(exchange, request.attemptId(), refusal.retryAfter(retryAfterMillis));
            return;
        }
        workspace.ifPresent(w -> context.shares().recordUsage(w.id(), charge, now));
        context.retries().requestArrived(service, now);
        AdmittedRequest admitted = new AdmittedRequest(
                exchange,
                request,
                rule,
                service,
                priority,
                workspace,
                charge,
                crashTraits,
                isCrashTest,
                deadlineMillis);
        context.log()
                .entry("admit")
                .id(request.attemptId())
                .with("route", rule.id())
                .with("kind", rule.kind())
                .with("priority", admitted.priority().map(Priority::toString).orElse("none"))
                .with("workspace", workspace.map(w -> w.id().value()).orElse("none"))
                .with("charge", charge)
                .with("version", table.version())
                .with("revision", context.state().position().revision())
                .with("deadlineInMillis", deadlineMillis - now)
                .with("crashTest", isCrashTest)
                .with("resumes", request.resumedAttemptId().orElse("none"))
                .with("resumeAfter", request.lastEventId().orElse("none"))
                .write();
        start(admitted, table);
    }

    /**
     * Returns how long a request may take: a language request by the greatest length of its answer, since callers' estimates
     * are often too low. While another host serves callers, a plain request that may run only once is expected to take as
     * long as it possibly can.
     */
    private long expectedMillis(CallerRequest request, RouteRule rule) {
        Optional<EngineWork> work = request.work();
        if (work.isEmpty() && !rule.mayRunAgain() && load.othersServe()) {
            return UNKNOWN_DURATION_MILLIS;
        }
        int tokens = work.map(EngineWork::maxOutputTokens).orElse(0);
        return context.answerPace().longestRequestMillis(rule.targetMillis(), tokens);
    }

    /** Asks callers to come back at different times, once this host may have worked off what waits. */
    private Refusal queueRefusal(long arrivedAtMillis, long nowMillis) {
        long waitedMillis = nowMillis - arrivedAtMillis;
        long retryAfterMillis = waitedMillis + (long) (context.random().nextDouble() * OVERLOADED_RETRY_AFTER_MILLIS);
        return Refusal.notRun(
                        RefusalCode.OVERLOADED,
                        "This host has more requests than it can look at; this one waited for " + waitedMillis + " ms.")
                .retryAfter(retryAfterMillis);
    }

    private Refusal drainRefusal(long nowMillis) {
        long retryAfterMillis = context.drain()
                .retryAfterMillis(
                        nowMillis, load.othersServe(), context.random().nextDouble());
        return Refusal.notRun(RefusalCode.DRAINING, "This host is stopping; send the request to another host.")
                .retryAfter(retryAfterMillis);
    }

    private static String rateMessage(WorkspaceTerms workspace, double charge, long waitMillis) {
        return "Workspace " + workspace.id() + " has used up its rate of " + workspace.unitsPerSecond()
                + " units a second and its burst of " + workspace.burstUnits() + "; this request of " + charge
                + " units has room in " + waitMillis + " ms.";
    }

    private void start(AdmittedRequest admitted, RoutingTable table) {
        Optional<ServiceTerms.EngineTerms> engine =
                table.service(admitted.service()).flatMap(ServiceTerms::engine);
        BackendClient client = backendClient.within(admitted.homes());
        Call[] call = new Call[1];
        Runnable onEnd = () -> calls.remove(call[0]);
        Supplier<Refusal> drainRefusal = () -> drainRefusal(context.loop().nowMillis());
        call[0] = engine.isPresent()
                ? new StreamCall(
                        context,
                        admitted,
                        permits,
                        workOf(admitted, engine.get()),
                        engine.get(),
                        client,
                        capacityQueueOf(admitted),
                        drainRefusal,
                        origins,
                        processCheck,
                        onEnd)
                : new PlainCall(
                        context, admitted, permits, client, returnQueueOf(admitted.service()), drainRefusal, onEnd);
        calls.add(call[0]);
        call[0].begin();
    }

    private ReturnQueue returnQueueOf(ServiceName service) {
        return returnQueues.computeIfAbsent(service, each -> new ReturnQueue(context));
    }

    private CapacityQueue capacityQueueOf(AdmittedRequest admitted) {
        return capacityQueues.computeIfAbsent(
                admitted.service(),
                service -> new CapacityQueue(context, service, load::loadChanged, load::bestWaitingElsewhere));
    }

    /** Returns the size of a request; one that states no token counts is assumed as large as its charge. */
    private static EngineWork workOf(AdmittedRequest admitted, ServiceTerms.EngineTerms engine) {
        int tokens = (int) Math.max(1, admitted.charge());
        EngineWork work = admitted.request().work().orElse(new EngineWork(tokens, tokens, tokens, 0, false));
        return work.withSlotTokens(engine.slotTokens());
    }

    private void refuse(CallerExchange exchange, String attemptId, Refusal refusal) {
        context.metrics().unrouted(refusal.code().name());
        context.log()
                .entry("refuse")
                .id(attemptId)
                .with("code", refusal.code())
                .with("reason", refusal.message())
                .with("retryAfterMillis", refusal.retryAfterMillis())
                .with(
                        "version",
                        context.state().table().map(RoutingTable::version).orElse(0L))
                .with("revision", context.state().position().revision())
                .write();
        Refusals.write(exchange, refusal, context.callerProtocol().headersOf(refusal));
    }

    /** Returns the parts of the prompt, except the last one, which is the request's own, and the whole request. */
    private static List<CrashTrait> crashTraits(CallerRequest request, Optional<WorkspaceTerms> workspace) {
        List<CrashTrait> traits = new ArrayList<>();
        for (int i = 0; i < request.promptParts().size() - 1; i++) {
            String id = request.promptParts().get(i).id();
            traits.add(CrashTrait.ofPromptPart(Hashing.komihash5_0().hashCharsToLong(id), i));
        }
        traits.add(CrashTrait.ofRequest(fingerprint(request, workspace)));
        return List.copyOf(traits);
    }

    /** Hashes method, path, query, workspace and body; equal for identical requests. */
    private static long fingerprint(CallerRequest request, Optional<WorkspaceTerms> workspace) {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        hash.putString(request.path());
        hash.putString(request.query());
        hash.putString(workspace.map(w -> w.id().value()).orElse(""));
        hash.putBytes(request.body());
        hash.putBytes(request.method().getBytes(StandardCharsets.US_ASCII));
        return hash.getAsLong();
    }
}
