package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.WaitingLine;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;
import org.guavathread.core.routing.WorkspaceTerms;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.gateway.protocol.EngineReservation;
import org.guavathread.gateway.protocol.PrefillResult;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.http.HttpAnswer;
import org.guavathread.router.http.HttpHead;

/**
 * A language request whose answer is a stream of events. Memory is reserved on a generating engine, the prefill runs on a
 * prefill engine or on the generating one, and only complete events are forwarded. A broken stream is resumed on another
 * engine if its route allows it.
 */
final class StreamCall extends Call {

    /** Idle timeout of a stream, as a multiple of the route's longest allowed pause; callers leave after eight. */
    private static final double PAUSES_UNTIL_BROKEN = 5;

    /** First-event timeout of an engine, as a multiple of the expected time, plus a fixed slack. */
    private static final double EXPECTED_UNTIL_BROKEN = 3;

    private static final long FIRST_EVENT_SLACK_MILLIS = 1_200;

    /** Prefill timeout as a multiple of the expected time, plus a fixed slack for a busy engine. */
    private static final double EXPECTED_READS = 2;

    private static final long READ_SLACK_MILLIS = 500;

    /** Timeout of a reservation call. The call is small, so an engine that takes longer is considered unhealthy. */
    private static final long RESERVE_MILLIS = 400;

    /** Queue timeout as a multiple of the route's target latency; callers leave after four targets without an event. */
    private static final double TARGETS_FOR_ROOM = 3;

    /** Share of the target within which a request must get capacity to be on time; the prefill takes the rest. */
    private static final double ON_TIME_SHARE = 0.5;

    /** Under the callers' protocol, callers wait at most the remaining time divided by this before they retry. */
    private static final int RETURN_DIVISOR = 3;

    /** Minimum retry delay as a share of the maximum, because bursts last for some seconds. */
    private static final double LEAST_RETURN_SHARE = 0.5;

    private static final String NO_ROOM = "No engine has room.";

    private final Exchanges exchanges;
    private final EngineWork work;
    private final EngineTerms engine;
    private final RoomQueue rooms;
    private final Set<BackendServerId> full = new HashSet<>();
    private final EngineHoldings holdings;
    private EventLoop.Timer silence;
    private CallerExchange.StreamBody out;
    private Optional<String> lastEventId;
    private boolean readTried;
    private long firstEventAtMillis;
    private long lastEventAtMillis;
    private int sends;

    StreamCall(
            GatewayContext context,
            Admitted admitted,
            EngineWork work,
            EngineTerms engine,
            Exchanges exchanges,
            RoomQueue rooms,
            Runnable onEnd) {
        super(context, admitted, onEnd);
        this.rooms = rooms;
        this.exchanges = exchanges;
        this.engine = engine;
        this.work = work;
        this.holdings = new EngineHoldings(context, engine);
        this.lastEventId = request().lastEventId();
    }

    @Override
    void begin() {
        if (rooms.isBehind(waitingPlace())) {
            waitForRoom();
        } else {
            place();
        }
    }

    @Override
    void release() {
        holdings.endCounts();
        if (silence != null) {
            silence.cancel();
            silence = null;
        }
        if (isEnded()) {
            holdings.giveBack();
            rooms.ended(this);
        }
    }

    void endCounts() {
        holdings.endCounts();
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
    void tryRoom() {
        full.clear();
        place();
    }

    /** Ends a call that found no capacity in time, while the caller still waits for the refusal. */
    void waitedTooLong() {
        if (!isEnded()) {
            giveUp(NO_ROOM);
        }
    }

    void place() {
        Set<BackendServerId> excluded = new HashSet<>(tried);
        excluded.addAll(full);
        EngineWork left = out == null ? work : work.resumed();
        Optional<EnginePlan> plan = context.engineDispatch()
                .choose(
                        servers(),
                        excluded,
                        left,
                        engine.memoryTokens(),
                        admitted.rule().targetMillis(),
                        now());
        if (plan.isPresent()) {
            reserve(plan.get());
        } else if (servers().stream()
                .allMatch(w -> tried.contains(w.id()) || !w.stage().generates())) {
            giveUp("No engine of service " + admitted.service() + " is left to try.");
        } else {
            waitForRoom();
        }
    }

    private WaitingLine.Place waitingPlace() {
        long arrivedAtMillis = exchange().arrivedAtMillis();
        long targetMillis = admitted.rule().targetMillis();
        // A caller that has received events measures its timeout from the last event, not from its request.
        long listenedAtMillis = out == null ? arrivedAtMillis : lastEventAtMillis;
        long giveUpAtMillis = Math.min(
                listenedAtMillis + (long) (TARGETS_FOR_ROOM * targetMillis), admitted.deadlineMillis() - targetMillis);
        long onTimeUntilMillis = out == null ? arrivedAtMillis + (long) (ON_TIME_SHARE * targetMillis) : Long.MAX_VALUE;
        return new WaitingLine.Place(
                admitted.workspace().map(WorkspaceTerms::id), arrivedAtMillis, onTimeUntilMillis, giveUpAtMillis);
    }

    private void waitForRoom() {
        WaitingLine.Place place = waitingPlace();
        boolean waits = rooms.wait(this, place);
        log("wait")
                .with("outcome", waits ? "waits" : "refused")
                .with("full", full.size())
                .with("untilMillis", place.giveUpAtMillis() - now())
                .with("best", rooms.best())
                .with("lineMillis", rooms.drainMillis())
                .write();
        if (!waits) {
            giveUp(NO_ROOM);
        }
    }

    private void reserve(EnginePlan plan) {
        Worker decode = plan.decode();
        boolean split = plan.prefill().isPresent() && !readTried && !hasRun();
        log("place")
                .with("decode", decode.id())
                .with("prefill", split ? plan.prefill().get().id() : "none")
                .with("expectedMillis", Math.round(plan.expectedMillis()))
                .with("promptTokens", work.promptTokens())
                .with("heldTokens", context.loads().heldTokens(decode.id()))
                .with("queuedTokens", context.loads().promptTokens(decode.id()))
                .with("remainingMillis", remainingMillis())
                .write();
        boolean readsItself = !split && !(out == null && holdings.hasUsablePrompt());
        holdings.countRun(decode.id(), readsItself ? work.promptTokens() : 0, work.occupiedTokens());
        if (engine.reserveMillis() == 0) {
            reserved(plan, split);
            return;
        }
        if (split) {
            // Counts the prefill now rather than on confirmation of the reservation, so that other placements see it.
            holdings.countRead(plan.prefill().get().id(), work.promptTokens());
        }
        long expiresAtMillis = now() + engine.reserveMillis();
        running(exchanges.whole(
                decode,
                context.backendProtocol()
                        .reserve(decode, work.heldTokens(), engine.reserveMillis(), now() + RESERVE_MILLIS),
                answer -> {
                    Optional<EngineReservation> got =
                            context.backendProtocol().reservationOf(decode, answer, expiresAtMillis);
                    got.ifPresent(holdings::keep);
                    if (isEnded()) {
                        holdings.giveBack();
                    } else if (got.isPresent()) {
                        context.metrics().sent("reserve", "RAN");
                        idle();
                        reserved(plan, split);
                    } else {
                        noRoom(decode, "status " + answer.status());
                    }
                },
                failure -> {
                    if (!isEnded()) {
                        context.health().unreachable(decode.id(), now());
                        noRoom(decode, failure.getMessage());
                    }
                }));
    }

    private void noRoom(Worker decode, String reason) {
        idle();
        holdings.endCounts();
        full.add(decode.id());
        context.metrics().sent("reserve", "NOT_RUN");
        log("result")
                .with("server", decode.id())
                .with("step", "reserve")
                .with("failure", reason)
                .write();
        place();
    }

    private void reserved(EnginePlan plan, boolean split) {
        rooms.gotRoom(this);
        if (split) {
            read(plan.prefill().get(), plan);
        } else {
            generate(plan.decode(), plan.expectedMillis());
        }
    }

    private void read(Worker prefill, EnginePlan plan) {
        readTried = true;
        long untilMillis = Math.min(
                admitted.deadlineMillis(), now() + READ_SLACK_MILLIS + (long) (EXPECTED_READS * plan.expectedMillis()));
        running(exchanges.whole(
                prefill,
                context.backendProtocol()
                        .prefill(
                                request(),
                                sendOptions(
                                        prefill, untilMillis, Optional.empty(), Optional.empty(), Optional.empty())),
                answer -> promptRead(prefill, plan, answer),
                failure -> readFailed(prefill, plan, false, failure)));
    }

    private void promptRead(Worker prefill, EnginePlan plan, HttpAnswer answer) {
        Optional<PrefillResult> prompt = context.backendProtocol().prefillResultOf(prefill, answer, now());
        prompt.ifPresent(holdings::keep);
        if (isEnded()) {
            holdings.giveBack();
            return;
        }
        if (prompt.isEmpty()) {
            boolean rejected = context.backendProtocol()
                    .meaningOf(request(), answer.head())
                    .isNotRun();
            readFailed(prefill, plan, rejected, new IllegalStateException("status " + answer.status()));
            return;
        }
        idle();
        holdings.endRead();
        context.metrics().sent("read", "RAN");
        context.health().succeeded(prefill.id());
        generate(plan.decode(), plan.expectedMillis());
    }

    /** Falls back to the generating engine, which runs the prefill itself in the memory that it has reserved. */
    private void readFailed(Worker prefill, EnginePlan plan, boolean rejected, Throwable failure) {
        if (isEnded()) {
            return;
        }
        idle();
        holdings.endRead();
        context.metrics().sent("read", rejected ? "NOT_RUN" : "BROKEN");
        log("result")
                .with("server", prefill.id())
                .with("step", "read")
                .with("rejected", rejected)
                .with("failure", failure.getMessage())
                .write();
        if (Exchanges.isConnectionLost(failure)) {
            context.crashSuspects().crashed(admitted.fingerprint(), now());
        }
        context.health().unreachable(prefill.id(), now());
        if (rejected && !takeRepeat()) {
            refuseFull("The prompt could not be read, and the retry budget is used up.");
            return;
        }
        generate(plan.decode(), plan.expectedMillis());
    }

    private void generate(Worker worker, double expectedMillis) {
        tried.add(worker.id());
        sends++;
        // A resumed stream needs a prefill of the prompt and of the tokens generated so far, which the engine runs
        // itself.
        Optional<PrefillResult> usable = out == null ? holdings.takePrompt() : Optional.empty();
        Optional<EngineReservation> reserved = holdings.takeRoom(worker);
        log("send")
                .with("server", worker.id())
                .with("promptFrom", usable.map(p -> p.engine().id().value()).orElse("itself"))
                .with("reserved", reserved.isPresent())
                .with("resumeAfter", lastEventId.orElse("none"))
                .with("remainingMillis", remainingMillis())
                .write();
        EngineRun run = new EngineRun(this, worker);
        silenceAt(now() + FIRST_EVENT_SLACK_MILLIS + (long) (EXPECTED_UNTIL_BROKEN * expectedMillis), run);
        runningRequest(exchanges.stream(
                worker,
                context.backendProtocol()
                        .run(request(), sendOptions(worker, admitted.deadlineMillis(), usable, reserved, lastEventId)),
                run));
    }

    private void silenceAt(long atMillis, EngineRun run) {
        if (silence != null) {
            silence.cancel();
        }
        silence = null;
        if (admitted.rule().mayRunAgain()) {
            silence = context.loop().at(atMillis, () -> {
                if (!isEnded() && !run.isOver() && mayRunOnceMore()) {
                    run.broken("silent", true);
                }
            });
        }
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
    long returnMillis() {
        double share =
                LEAST_RETURN_SHARE + (1 - LEAST_RETURN_SHARE) * context.random().nextDouble();
        long latestMillis = Math.min(
                remainingMillis() / RETURN_DIVISOR,
                context.answerPace()
                        .latestReturnMillis(
                                remainingMillis(), admitted.rule().targetMillis(), work.expectedOutputTokens()));
        return Math.max(super.returnMillis(), (long) (share * latestMillis));
    }

    boolean isOpen() {
        return out != null;
    }

    void lastEvent(String id) {
        lastEventId = Optional.of(id);
    }

    /** Marks an engine as full after it refused the request; it may be tried again later. */
    void refusedBy(Worker worker) {
        sends--;
        tried.remove(worker.id());
        full.add(worker.id());
    }

    /** Uncounts the latest send, of which no byte reached an engine. */
    void notSentTo() {
        sends--;
    }

    /** Forwards events to the caller; the first ones open the answer. */
    void pass(EngineRun run, HttpHead head, byte[] events) {
        if (out == null && !open(run, head)) {
            return;
        }
        holdings.noteFirstEvent();
        lastEventAtMillis = now();
        if (!out.write(events)) {
            end("caller gone", 0);
            return;
        }
        long pauseMillis = (long) (PAUSES_UNTIL_BROKEN * admitted.rule().maxPauseMillis());
        silenceAt(now() + pauseMillis, run);
    }

    private boolean open(EngineRun run, HttpHead head) {
        out = exchange()
                .openStream(head.status(), context.backendProtocol().callerHeaders(head))
                .orElse(null);
        if (out == null) {
            end("caller gone", 0);
            return false;
        }
        firstEventAtMillis = now();
        long millis = firstEventAtMillis - exchange().arrivedAtMillis();
        context.metrics().firstByte(admitted.rule().kind(), millis);
        log("first").with("server", run.worker().id()).with("millis", millis).write();
        return true;
    }

    void finish(int status) {
        if (sends == 1) {
            context.answerPace().answered(work.expectedOutputTokens(), now() - firstEventAtMillis);
        }
        out.finish();
        end("answered", status);
    }
}
