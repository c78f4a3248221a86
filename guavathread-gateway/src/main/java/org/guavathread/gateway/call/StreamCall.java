package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.CallerCost;
import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.FairAdmissionQueue;
import org.guavathread.core.dispatch.SendPurpose;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.core.stream.StreamProgress;
import org.guavathread.gateway.protocol.EngineReservation;
import org.guavathread.gateway.protocol.PrefillResult;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.http.HttpHead;

/**
 * A language request whose answer is a stream of events. Memory is reserved on a generating engine, the prefill runs on a
 * prefill engine or on the generating one, and only complete events are forwarded. A broken stream is resumed on another
 * engine if its route allows it.
 */
final class StreamCall extends Call {

    /** Age up to which a permit is used: with the transit, grants count for 500 ms longer than the arrivals. */
    private static final long MAX_PERMIT_AGE_MILLIS = 300;

    private static final String CONTENT_TYPE = "Content-Type";
    private static final String NO_ENGINE_CAPACITY = "No engine has room.";

    private final BackendClient backendClient;
    private final EngineWork work;
    private final EngineTerms engineTerms;
    private final CapacityQueue capacityQueue;
    private final Set<BackendServerId> fullEngines = new HashSet<>();
    private final EngineResources resources;
    private final ReservationRequest reservations;
    private final EngineSelection selection;
    private final StreamOrigin origin;
    private final ProcessCheck processCheck;
    private final StallWatch stallWatch;
    private CallerExchange.StreamBody out;
    private Optional<String> contentType = Optional.empty();
    private Optional<String> lastEventId;
    private boolean prefillTried;
    private long permittedAtMillis;
    private long firstEventAtMillis;
    private long lastEventAtMillis;
    private int sends;

    StreamCall(
            GatewayContext context,
            AdmittedRequest admitted,
            RequestRouter.Permits permits,
            EngineWork work,
            EngineTerms engineTerms,
            BackendClient backendClient,
            CapacityQueue capacityQueue,
            Supplier<Refusal> drainRefusal,
            RequestRouter.Origins origins,
            ProcessCheck processCheck,
            Runnable onEnd) {
        super(context, admitted, permits, drainRefusal, onEnd);
        this.origin = new StreamOrigin(context, admitted, origins, processCheck);
        this.processCheck = processCheck;
        this.capacityQueue = capacityQueue;
        this.backendClient = backendClient;
        this.engineTerms = engineTerms;
        this.work = work;
        this.resources = new EngineResources(context, engineTerms, backendClient);
        this.reservations = new ReservationRequest(this, engineTerms, work, backendClient, resources);
        this.stallWatch = new StallWatch(
                context.loop(),
                new StreamProgress(
                        admitted.rule().targetMillis(),
                        admitted.rule().maxPauseMillis(),
                        admitted.rule().mayRunAgain()),
                new EngineHandover(this, processCheck, reservations, resources));
        this.selection = new EngineSelection(context, engineTerms, admitted);
        this.lastEventId = request().lastEventId();
    }

    @Override
    void begin() {
        if (!work.fitsInto(engineTerms.memoryTokens())) {
            giveUp("The request needs " + work.heldTokens() + " tokens of memory; an engine has "
                    + engineTerms.memoryTokens() + ".");
            return;
        }
        if (lastEventId.isEmpty()) {
            queueOrPlace();
            return;
        }
        origin.find(found -> {
            if (!isEnded()) {
                resume(found);
            }
        });
    }

    /** Continues a stream that a caller takes up again. */
    private void resume(Optional<SoftwareVersion> began) {
        began.ifPresent(selection::restrictTo);
        if (began.isEmpty()) {
            refuse(Refusal.notRun(
                    RefusalCode.ORIGIN_UNKNOWN,
                    "It is not known at which software version the stream began; send the request without "
                            + "Last-Event-Id."));
        } else if (servers().isEmpty()) {
            refuse(Refusal.notRun(
                    RefusalCode.VERSION_GONE,
                    "The stream began at software version " + began.get() + ", of which no server is left."));
        } else {
            queueOrPlace();
        }
    }

    /** Returns the servers that can serve the call: once its stream has begun, only those of the same version. */
    @Override
    List<Worker> servers() {
        return selection.compatible(super.servers());
    }

    private void queueOrPlace() {
        if (runners().isEmpty()) {
            giveUp("No engine of service " + admitted.service() + " may get the request.");
        } else if (capacityQueue.mustQueue(waitingPlace())) {
            waitForRoom();
        } else {
            place();
        }
    }

    @Override
    void release() {
        resources.removeLoad();
        stallWatch.stop();
        if (isEnded()) {
            resources.releaseUnused();
            capacityQueue.ended(this);
        }
    }

    void removeLoad() {
        resources.removeLoad();
    }

    @Override
    void deadlinePassed() {
        if (out == null) {
            super.deadlinePassed();
        } else {
            breakOff("deadline passed midway");
        }
    }

    /** Retries the placement, as the first of the waiting requests. */
    void retryPlacement() {
        fullEngines.clear();
        place();
    }

    /** Ends a call that found no capacity in time, while the caller still waits for the refusal. */
    void waitTimedOut() {
        if (!isEnded()) {
            giveUp(NO_ENGINE_CAPACITY);
        }
    }

    /** Refuses a waiting request for which no room is left, because more urgent ones go first. */
    void overtaken(CallerCost cost, Optional<StreamCall> ahead) {
        if (!isEnded()) {
            log("overtaken")
                    .with("priority", cost.priority())
                    .with("need", cost.need())
                    .with("ahead", ahead.map(call -> call.request().attemptId()).orElse("none"))
                    .with("waitedMillis", now() - exchange().arrivedAtMillis())
                    .write();
            context.metrics().overtaken(cost.priority());
            giveUp(NO_ENGINE_CAPACITY);
        }
    }

    void place() {
        if (out == null && endedBeforeSending()) {
            return;
        }
        if (!origin.isSettled()) {
            origin.whenSettled(this::placeOnceSettled);
            return;
        }
        if (!backendClient.isReachable(admitted.service())) {
            giveUp("No host reaches an engine of service " + admitted.service() + ".");
            return;
        }
        if (refusedByDrain(work.maxOutputTokens())) {
            return;
        }
        if (out != null && !mayGoOnBeforeThisHostEnds()) {
            breakOff("broken midway: this host stops");
            return;
        }
        Optional<EnginePlan> plan = plan();
        if (plan.isPresent() && isContinuation()) {
            reserveIfSameProcess(plan.get());
        } else if (plan.isPresent()) {
            reserve(plan.get());
        } else if (untried().isEmpty()) {
            giveUp("No engine of service " + admitted.service() + " is left to try.");
        } else if (areAllPausedUntil(waitingPlace().standing().expiresAtMillis(), untried())) {
            giveUp("All engines of service " + admitted.service() + " have asked for a pause.");
        } else {
            waitForRoom();
        }
    }

    private Optional<EnginePlan> plan() {
        Set<BackendServerId> excluded = new HashSet<>(tried);
        excluded.addAll(fullEngines);
        boolean isUnopened = out == null;
        return selection.plan(
                serversWithRoom(),
                excluded,
                isUnopened ? work : work.resumed(),
                isUnopened ? resources.prefilledVersion() : Optional.empty());
    }

    /** Returns an engine at which the stream can go on in time if its events stay away, if there is one. */
    Optional<EnginePlan> planToGoOn() {
        boolean mayGoOn =
                mayRunOnceMore() && origin.isSettled() && endsBeforeThisHost(work.maxOutputTokens(), streamedMillis());
        return mayGoOn ? plan() : Optional.empty();
    }

    /** Leaves an engine out until the request has waited for room. */
    void exclude(Worker engine) {
        fullEngines.add(engine.id());
    }

    /** Continues the stream at an engine at which a handover has secured what it needs. */
    void goOn(EnginePlan plan) {
        permittedAtMillis = now();
        resources.addRunLoad(plan.decode().id(), work.promptTokens(), work.occupiedTokens());
        generate(plan.decode(), plan.expectedMillis());
    }

    private void placeOnceSettled(Optional<SoftwareVersion> began) {
        if (isEnded()) {
            return;
        }
        if (began.isPresent()) {
            selection.restrictTo(began.get());
            place();
        } else {
            giveUp("It is not known at which software version the stream began.");
        }
    }

    /** Continues the stream at an engine that still is the process whose version is known; otherwise at another one. */
    private void reserveIfSameProcess(EnginePlan plan) {
        Worker engine = plan.decode();
        processCheck.ask(engine, outcome -> {
            if (isEnded()) {
                return;
            }
            if (outcome.isConfirmed()) {
                reserve(plan);
            } else {
                fullEngines.add(engine.id());
                place();
            }
        });
    }

    private boolean mayGoOnBeforeThisHostEnds() {
        long expectedMillis = context.answerPace()
                .expectedRestMillis(admitted.rule().targetMillis(), work.expectedOutputTokens(), streamedMillis());
        return context.drain().mayGoOn(now(), admitted.callerDeadlineMillis(), expectedMillis);
    }

    private long streamedMillis() {
        return out == null ? 0 : lastEventAtMillis - firstEventAtMillis;
    }

    private FairAdmissionQueue.Attributes waitingPlace() {
        // A caller that has received events measures its timeout from the last event, not from its request.
        long lastReceivedAtMillis = out == null ? exchange().arrivedAtMillis() : lastEventAtMillis;
        return WaitingPlace.of(admitted, work, isContinuation(), lastReceivedAtMillis);
    }

    /** Returns whether the caller has received the first events, in this answer or in an earlier one. */
    boolean isContinuation() {
        return out != null || request().lastEventId().isPresent();
    }

    private void waitForRoom() {
        FairAdmissionQueue.Attributes place = waitingPlace();
        boolean queued = capacityQueue.enqueue(this, place);
        log("wait")
                .with("outcome", queued ? "waits" : "refused")
                .with("full", fullEngines.size())
                .with("priority", admitted.priority().map(Priority::toString).orElse("none"))
                .with("untilMillis", place.standing().expiresAtMillis() - now())
                .with("best", capacityQueue.bestRank())
                .with("lineMillis", capacityQueue.drainMillis())
                .with("keptEngines", context.keptRoom().keptEngines(admitted.service()))
                .write();
        if (!queued) {
            giveUp(NO_ENGINE_CAPACITY);
        }
    }

    private void reserve(EnginePlan plan) {
        Worker decode = plan.decode();
        boolean separatePrefill = plan.prefill().isPresent() && !prefillTried && !hasRun();
        log("place")
                .with("decode", decode.id())
                .with("decodeVersion", decode.softwareVersion())
                .with("decodeStartedAt", decode.startedAtMillis())
                .with("prefill", separatePrefill ? plan.prefill().get().id() : "none")
                .with("prefillVersion", separatePrefill ? plan.prefill().get().softwareVersion() : "none")
                .with("expectedMillis", Math.round(plan.expectedMillis()))
                .with("promptTokens", work.promptTokens())
                .with("heldTokens", context.loads().heldTokens(decode.id()))
                .with("queuedTokens", context.loads().promptTokens(decode.id()))
                .with("remainingMillis", remainingMillis())
                .write();
        withPermit(decode, SendPurpose.RESERVATION, () -> reservePermitted(plan, separatePrefill), this::place);
    }

    private void reservePermitted(EnginePlan plan, boolean separatePrefill) {
        Worker decode = plan.decode();
        boolean hasKvCache = out == null && resources.prefilledVersion().equals(Optional.of(decode.softwareVersion()));
        boolean prefillsItself = !separatePrefill && !hasKvCache;
        resources.addRunLoad(decode.id(), prefillsItself ? work.promptTokens() : 0, work.occupiedTokens());
        if (engineTerms.reserveMillis() == 0) {
            onReserved(plan, separatePrefill);
            return;
        }
        if (separatePrefill) {
            // Counts the prefill now rather than on confirmation of the reservation, so that other placements see it.
            resources.addPrefillLoad(plan.prefill().get().id(), work.promptTokens());
        }
        setBackendCall(reservations.send(
                decode,
                got -> {
                    resources.keep(got);
                    clearBackendCall();
                    onReserved(plan, separatePrefill);
                },
                // The load of this request must not count when the refusal is judged.
                resources::removeLoad,
                reason -> reservationFailed(decode, reason)));
    }

    private void reservationFailed(Worker decode, String reason) {
        clearBackendCall();
        resources.removeLoad();
        fullEngines.add(decode.id());
        context.metrics().sent("reserve", "NOT_RUN");
        log("result")
                .with("server", decode.id())
                .with("step", "reserve")
                .with("failure", reason)
                .write();
        place();
    }

    private void onReserved(EnginePlan plan, boolean separatePrefill) {
        capacityQueue.capacityAcquired(this, waitingPlace());
        boolean prefillLeft = separatePrefill && !isUsable(plan.prefill().get());
        if (prefillLeft || !isUsable(plan.decode())) {
            placeAgain(prefillLeft ? plan.prefill().get() : plan.decode());
        } else if (!refusedByLimit()) {
            withPermit(plan.decode(), SendPurpose.WORK, () -> permitted(plan, separatePrefill), this::placeElsewhere);
        }
    }

    private void permitted(EnginePlan plan, boolean separatePrefill) {
        permittedAtMillis = now();
        if (separatePrefill) {
            Worker prefill = plan.prefill().get();
            withPermit(prefill, SendPurpose.WORK, () -> read(prefill, plan), () -> {
                resources.removePrefillLoad();
                generate(plan.decode(), plan.expectedMillis());
            });
        } else {
            generate(plan.decode(), plan.expectedMillis());
        }
    }

    private void read(Worker prefill, EnginePlan plan) {
        prefillTried = true;
        new PrefillRun(this, resources, backendClient, prefill, plan).begin();
    }

    /** Plans the request anew, since the limit of the generating engine is used up. */
    private void placeElsewhere() {
        resources.releaseReservation();
        resources.removeLoad();
        place();
    }

    /** Tells whether a server still takes requests; reservation and prefill may have taken seconds. */
    boolean isUsable(Worker worker) {
        return serversWithoutPause().stream().anyMatch(w -> w.id().equals(worker.id()));
    }

    /** Plans the request anew, since a server of its plan has left or paused before anything was sent there. */
    private void placeAgain(Worker left) {
        log("result")
                .with("server", left.id())
                .with("failure", "left or paused")
                .write();
        resources.removeLoad();
        place();
    }

    /** Sends the run; if the engine is cold and its permit was granted too long ago, once it is granted anew. */
    void generate(Worker worker, double expectedMillis) {
        if (!isUsable(worker)) {
            placeAgain(worker);
        } else if (now() - permittedAtMillis > MAX_PERMIT_AGE_MILLIS
                && context.coldServers().isCold(worker, now())) {
            withPermit(worker, SendPurpose.WORK, () -> run(worker, expectedMillis), this::placeElsewhere);
        } else {
            run(worker, expectedMillis);
        }
    }

    private void run(Worker worker, double expectedMillis) {
        if (out == null && endedBeforeSending()) {
            return;
        }
        tried.add(worker.id());
        sends++;
        // A resumed stream needs a prefill of the prompt and of the tokens generated so far, which the engine runs
        // itself.
        Optional<PrefillResult> usable = out == null ? resources.takePrefillResult(worker) : Optional.empty();
        Optional<EngineReservation> reserved = resources.takeReservation(worker);
        log("send")
                .with("server", worker.id())
                .with("serverVersion", worker.softwareVersion())
                .with("startedAt", worker.startedAtMillis())
                .with("promptFrom", usable.map(p -> p.engine().id().value()).orElse("itself"))
                .with("reserved", reserved.isPresent())
                .with("resumeAfter", lastEventId.orElse("none"))
                .with("remainingMillis", remainingMillis())
                .write();
        EngineRun run = new EngineRun(this, worker);
        stallWatch.requested(run, expectedMillis);
        setRunCall(backendClient.stream(
                worker,
                context.backendProtocol()
                        .run(request(), sendOptions(worker, admitted.deadlineMillis(), usable, reserved, lastEventId)),
                lastEventId.isPresent() ? new HeldAnswer(this, run, processCheck) : run));
    }

    @Override
    List<Worker> runners() {
        return servers().stream().filter(w -> w.stage().generates()).toList();
    }

    boolean mayRunOnceMore() {
        return admitted.rule().mayRunAgain() && sends < admitted.rule().maxRuns();
    }

    void giveUp(String message) {
        if (out != null) {
            breakOff("broken midway: " + message);
        } else if (hasRun()) {
            refuse(Refusal.unknown(RefusalCode.BACKEND_FAILED, message));
        } else {
            refuseFull(message);
        }
    }

    void breakOff(String outcome) {
        out.abort();
        end(outcome, 0);
    }

    /**
     * Returns a retry delay with random jitter, long enough that the request does not meet the same burst again. A request
     * that found no capacity misses its target latency in any case.
     */
    @Override
    long retryDelayMillis() {
        long latestMillis = context.answerPace()
                .latestRetryMillis(remainingMillis(), admitted.rule().targetMillis(), work.expectedOutputTokens());
        long delayMillis = WaitingPlace.retryDelayMillis(
                remainingMillis(), latestMillis, context.random().nextDouble());
        return Math.max(super.retryDelayMillis(), delayMillis);
    }

    boolean isOpen() {
        return out != null;
    }

    /** Tells whether an answer has the type of the one that the caller is receiving. */
    boolean hasContentTypeOf(HttpHead head) {
        return head.header(CONTENT_TYPE).equals(contentType);
    }

    void lastEvent(String id) {
        lastEventId = Optional.of(id);
    }

    /** Marks an engine as full after it refused the request; it may be tried again later. */
    void markFull(Worker worker) {
        sends--;
        tried.remove(worker.id());
        fullEngines.add(worker.id());
    }

    /** Uncounts the latest send, of which no byte reached an engine. */
    void uncountSend() {
        sends--;
    }

    /** Forwards events to the caller; the first ones open the answer. Comments alone are no progress. */
    void forward(EngineRun run, HttpHead head, byte[] events, boolean isProgress) {
        if (out == null && !open(run, head)) {
            return;
        }
        if (!out.write(events)) {
            end("caller gone", 0);
            return;
        }
        if (isProgress) {
            resources.prefillCompleted();
            lastEventAtMillis = now();
            stallWatch.event(run);
        }
    }

    private boolean open(EngineRun run, HttpHead head) {
        out = exchange()
                .openStream(head.status(), context.backendProtocol().callerHeaders(head))
                .orElse(null);
        if (out == null) {
            end("caller gone", 0);
            return false;
        }
        contentType = head.header(CONTENT_TYPE);
        firstEventAtMillis = now();
        selection.restrictTo(run.worker().softwareVersion());
        origin.began(run.worker(), selection::restrictTo);
        long millis = firstEventAtMillis - exchange().arrivedAtMillis();
        context.metrics().firstByte(admitted.rule().kind(), millis);
        log("first")
                .with("server", run.worker().id())
                .with("serverVersion", run.worker().softwareVersion())
                .with("startedAt", run.worker().startedAtMillis())
                .with("millis", millis)
                .write();
        return true;
    }

    void finish(int status) {
        context.answerPace()
                .recordRequest(
                        admitted.rule().targetMillis(),
                        work.maxOutputTokens(),
                        now() - exchange().arrivedAtMillis());
        if (sends == 1) {
            context.answerPace().record(work.expectedOutputTokens(), now() - firstEventAtMillis);
        }
        out.finish();
        end("answered", status);
    }
}
