package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.guavathread.core.claim.AttemptIds;
import org.guavathread.core.claim.AttemptLog;
import org.guavathread.core.claim.ClaimAbort;
import org.guavathread.core.claim.ClaimAbortReply;
import org.guavathread.core.claim.ClaimAction;
import org.guavathread.core.claim.ClaimCall;
import org.guavathread.core.claim.ClaimCoordinator;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.ClaimReply;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.ClaimVoter;
import org.guavathread.core.claim.OutcomeQuery;
import org.guavathread.core.claim.OutcomeReply;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;

/** A host of a schedule: a voter, its coordinators, and the I/O layer around them. */
final class SimHost {

    /** Clock of a host without skew at the start of a schedule, in milliseconds since the Unix epoch. */
    static final long BASE_MILLIS = 1_800_000_000_000L;

    private static final long PRIOR_UPTIME_MILLIS = 3_600_000;

    private final ScheduleSimulator simulator;
    private final HostId id;
    private final long clockOffsetMillis;
    private final SplittableRandom random;
    private final Map<SimCall, ClaimCoordinator> coordinators = new LinkedHashMap<>();

    private final Set<SimCall> openCalls = new LinkedHashSet<>();
    private final Map<SimCall, Long> wakeAtMillis = new HashMap<>();

    private int run;
    private boolean up;
    private long pausedUntilMillis;
    private long pauseStartMillis;
    private long startedAtMillis;
    private SimEpochs epochs;
    private ClaimVoter voter;
    private AttemptLog log;
    private AttemptIds ids;

    SimHost(ScheduleSimulator simulator, HostId id, long clockOffsetMillis, SplittableRandom random) {
        this.simulator = simulator;
        this.id = id;
        this.clockOffsetMillis = clockOffsetMillis;
        this.random = random;
        start(
                -PRIOR_UPTIME_MILLIS,
                SimEpochs.longSettled(simulator.published(), clock() - PRIOR_UPTIME_MILLIS, clock()));
    }

    HostId id() {
        return id;
    }

    boolean isUp() {
        return up;
    }

    boolean answersAsWitness() {
        return up && simulator.time().nowMillis() >= Math.max(pausedUntilMillis, startedAtMillis + 10_000);
    }

    boolean isPaused() {
        return simulator.time().nowMillis() < pausedUntilMillis;
    }

    SimEpochs epochs() {
        return epochs;
    }

    private long clock() {
        return BASE_MILLIS + simulator.time().nowMillis() + clockOffsetMillis;
    }

    private void start(long atMillis, SimEpochs initialEpochs) {
        up = true;
        startedAtMillis = atMillis;
        epochs = initialEpochs;
        long startClockMillis = BASE_MILLIS + atMillis + clockOffsetMillis;
        boolean abstains = simulator.design().abstainsAfterRestart();
        Incarnation incarnation = new Incarnation(startClockMillis);
        voter = new ClaimVoter(id, incarnation, abstains ? startClockMillis : 0, simulator.settings());
        log = new AttemptLog(simulator.settings());
        ids = new AttemptIds(id, incarnation, random);
        voter.observe(voterView(), clock());
        int thisRun = run;
        simulator.time().after(1 + random.nextInt((int) SimEpochs.PING_MILLIS), () -> ping(thisRun));
    }

    /** A voter that does not abstain treats every epoch as settled, as if it had never been restarted. */
    private EpochView voterView() {
        EpochView view = epochs.view();
        return simulator.design().abstainsAfterRestart()
                ? view
                : new EpochView(view.current(), view.leaseDeadlineMillis(), 0, 0, view.earlier());
    }

    void kill() {
        simulator.trace(id, "killed");
        up = false;
        run++;
        pausedUntilMillis = 0;
        openCalls.forEach(SimCall::hostDied);
        openCalls.clear();
        coordinators.clear();
        wakeAtMillis.clear();
    }

    void restart() {
        if (!up) {
            simulator.trace(id, "restarted");
            SimEpochs fresh = new SimEpochs(simulator.published(), simulator.newestReachable(id), clock());
            start(simulator.time().nowMillis(), fresh);
        }
    }

    void pause(long millis) {
        if (up && !isPaused()) {
            simulator.trace(id, "paused for", millis);
            pauseStartMillis = simulator.time().nowMillis();
            pausedUntilMillis = pauseStartMillis + millis;
            openCalls.forEach(SimCall::hostPaused);
        }
    }

    /** Runs a task now or when a pause ends; drops it if the host was killed since the given run. */
    private void whenRunning(int ofRun, Runnable task) {
        if (!up || run != ofRun) {
            return;
        }
        if (isPaused()) {
            simulator.time().at(pausedUntilMillis, () -> whenRunning(ofRun, task));
            return;
        }
        task.run();
    }

    private void ping(int ofRun) {
        whenRunning(ofRun, () -> {
            epochs.ping(simulator.witnessesReachableFrom(id), clock());
            viewChanged();
            simulator.time().after(SimEpochs.PING_MILLIS, () -> ping(ofRun));
        });
    }

    void adoptPublished(int publishedIndex) {
        whenRunning(run, () -> {
            epochs.adopt(simulator.published().get(publishedIndex), clock());
            simulator.trace(id, "learns", epochs.current().epoch());
            viewChanged();
        });
    }

    private void viewChanged() {
        voter.observe(voterView(), clock());
        for (SimCall call : new ArrayList<>(coordinators.keySet())) {
            perform(call, coordinators.get(call).timer(epochs.view(), clock()));
        }
    }

    /** Receives a request. One that reached the socket during a pause counts as arrived when the pause began. */
    void receive(SimCall call) {
        boolean duringPause = isPaused();
        simulator.trace(id, "gets", call.key(), "issued", call.keyIssuedAtMillis());
        if (duringPause) {
            call.hostPaused();
        }
        long arrivedAt = duringPause ? BASE_MILLIS + pauseStartMillis + clockOffsetMillis : clock();
        int thisRun = run;
        openCalls.add(call);
        call.reached(id, () -> run == thisRun && up);
        whenRunning(thisRun, () -> {
            ClaimCall claimCall = new ClaimCall(
                    call.key(),
                    arrivedAt,
                    call.keyIssuedAtMillis(),
                    arrivedAt + ScheduleSimulator.ROUTE_TIMEOUT_MILLIS);
            ClaimCoordinator coordinator = new ClaimCoordinator(claimCall, ids, log, simulator.settings(), random);
            coordinators.put(call, coordinator);
            perform(call, coordinator.start(epochs.view(), clock()));
        });
    }

    void receive(HostId from, PeerMessage message) {
        whenRunning(run, () -> handle(from, message));
    }

    private void handle(HostId from, PeerMessage message) {
        if (message instanceof ClaimRequest request) {
            reply(from, simulator.applyDesign(voter.onRequest(request, voterView(), clock())));
        } else if (message instanceof ClaimAbort abort) {
            ClaimAbort changedAbort = simulator.applyDesign(abort);
            Optional<ClaimAbortReply> reply = voter.onAbort(changedAbort, voterView(), clock());
            reply.ifPresent(r -> reply(from, simulator.applyDesign(r, abort.barrierMillis())));
        } else if (message instanceof ClaimOutcome outcome) {
            voter.onOutcome(outcome, clock());
        } else if (message instanceof OutcomeQuery query) {
            reply(from, query.toHolder() ? log.answer(query) : voter.onQuery(query, clock()));
        } else {
            ClaimKey key = keyOf(message);
            for (SimCall call : new ArrayList<>(coordinators.keySet())) {
                if (call.key().equals(key)) {
                    perform(call, coordinators.get(call).reply(from, message, epochs.view(), clock()));
                }
            }
        }
    }

    private static ClaimKey keyOf(PeerMessage message) {
        if (message instanceof ClaimReply reply) {
            return reply.key();
        }
        return message instanceof ClaimAbortReply reply ? reply.key() : ((OutcomeReply) message).key();
    }

    private void reply(HostId to, PeerMessage message) {
        simulator.send(id, to, message);
    }

    private void perform(SimCall call, List<ClaimAction> actions) {
        int thisRun = run;
        for (ClaimAction action : actions) {
            if (!(action instanceof ClaimAction.Send)) {
                simulator.trace(id, call.key(), action);
            }
            if (action instanceof ClaimAction.Send send) {
                simulator.send(id, send.to(), send.message());
            } else if (action instanceof ClaimAction.WaitUntil wait) {
                wakeAtMillis.put(call, wait.atMillis());
                performLater(call, thisRun, wait.atMillis() - clock(), c -> wakeUp(call, c, wait.atMillis()));
            } else if (action instanceof ClaimAction.Dispatch dispatch) {
                call.granted(simulator.time().nowMillis());
                performLater(call, thisRun, simulator.chargeMillis(), this.dispatchOf(call, dispatch));
            } else if (action instanceof ClaimAction.Refuse refuse) {
                simulator
                        .time()
                        .after(
                                random.nextInt(2),
                                () -> whenRunning(thisRun, () -> {
                                    call.refused(refuse.refusalAt(clock()));
                                }));
            } else if (action instanceof ClaimAction.Relay relay) {
                write(call, () -> call.answered(relay));
            }
        }
        ClaimCoordinator coordinator = coordinators.get(call);
        if (coordinator != null && coordinator.isEnded()) {
            coordinators.remove(call);
        }
    }

    private void write(SimCall call, Runnable answer) {
        int thisRun = run;
        simulator
                .time()
                .after(
                        random.nextInt(2),
                        () -> whenRunning(thisRun, () -> {
                            openCalls.remove(call);
                            answer.run();
                        }));
    }

    /** Ignores a timer that was replaced by a later one. */
    private List<ClaimAction> wakeUp(SimCall call, ClaimCoordinator coordinator, long atMillis) {
        return wakeAtMillis.get(call) == atMillis ? coordinator.timer(epochs.view(), clock()) : List.of();
    }

    private interface Step {
        List<ClaimAction> on(ClaimCoordinator coordinator);
    }

    private void performLater(SimCall call, int ofRun, long delay, Step step) {
        simulator
                .time()
                .after(
                        delay,
                        () -> whenRunning(ofRun, () -> {
                            ClaimCoordinator coordinator = coordinators.get(call);
                            if (coordinator != null) {
                                perform(call, step.on(coordinator));
                            }
                        }));
    }

    private Step dispatchOf(SimCall call, ClaimAction.Dispatch dispatch) {
        return coordinator -> {
            if (!coordinator.mayDispatch(epochs.view(), clock())) {
                return coordinator.timer(epochs.view(), clock());
            }
            if (simulator.withdraws()) {
                Refusal refusal = Refusal.notRun(RefusalCode.RATE_LIMITED, "The workspace has no budget left.");
                return coordinator.withdraw(refusal, clock());
            }
            List<ClaimAction> actions = coordinator.dispatched(clock());
            int thisRun = run;
            simulator.runOnBackend(
                    call,
                    body -> performLater(call, thisRun, 0, c -> c.answered(200, body, clock())),
                    () -> performLater(call, thisRun, 0, c -> c.failed(backendFailed(dispatch), clock())));
            return actions;
        };
    }

    private static Refusal backendFailed(ClaimAction.Dispatch dispatch) {
        return Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN, "No answer to " + dispatch.attempt() + ".");
    }
}
