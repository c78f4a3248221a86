package org.guavathread.router.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.guavathread.core.claim.AttemptIds;
import org.guavathread.core.claim.AttemptLog;
import org.guavathread.core.claim.ClaimAbort;
import org.guavathread.core.claim.ClaimAction;
import org.guavathread.core.claim.ClaimCall;
import org.guavathread.core.claim.ClaimCoordinator;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.ClaimSettings;
import org.guavathread.core.claim.ClaimVoter;
import org.guavathread.core.claim.OutcomeQuery;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.time.Clock;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;

/**
 * Duty {@code claims}: the votes of this host, and the attempts that it coordinates.
 *
 * <pre>{@code
 * claims.start(call, work); // work.granted(handle) follows, or work.refused, or work.relayed
 * handle.dispatch(() -> service.call(...));
 * }</pre>
 */
public final class ClaimService {

    private static final long TICK_MILLIS = 50;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final HostId self;
    private final Incarnation incarnation;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final Clock clock;
    private final RandomGenerator random;
    private final Duty<State> duty;

    /** What a request with an idempotency key does when its claim is decided. Called on the duty's thread. */
    public interface ClaimedWork {

        /**
         * The claim is granted. The work takes its budget and then calls {@link Handle#dispatch} or
         * {@link Handle#withdraw}. Called again if a new host epoch required another vote before the dispatch.
         *
         * @param handle the way back
         */
        void granted(Handle handle);

        /**
         * The caller gets a refusal.
         *
         * @param refusal the refusal
         */
        void refused(Refusal refusal);

        /**
         * The caller gets the answer of an attempt, this one or an earlier one.
         *
         * @param outcome holds the answer
         */
        void relayed(ClaimOutcome outcome);
    }

    /** The way back from the work to its claim. All methods may be called from any thread. */
    public interface Handle {

        /**
         * Sends the request if that is still allowed.
         *
         * @param send writes the request; runs on the duty's thread directly after the check, and must not block
         */
        void dispatch(Runnable send);

        /**
         * Gives the request up before it was sent.
         *
         * @param refusal what to tell the caller
         */
        void withdraw(Refusal refusal);

        /**
         * Reports the answer of the backend server.
         *
         * @param status HTTP status
         * @param answer body
         */
        void answered(int status, byte[] answer);

        /**
         * Reports that the backend server failed after the request was sent.
         *
         * @param refusal what to tell the caller
         */
        void failed(Refusal refusal);
    }

    private static final class Attempt {
        private final ClaimCoordinator coordinator;
        private final ClaimedWork work;
        private long wakeAtMillis = Long.MAX_VALUE;

        Attempt(ClaimCoordinator coordinator, ClaimedWork work) {
            this.coordinator = coordinator;
            this.work = work;
        }
    }

    private final class State {
        private final AttemptIds ids = new AttemptIds(self, incarnation, random);
        private HostEpoch epoch = HostEpoch.NONE;
        private ClaimSettings settings;
        private ClaimVoter voter;
        private AttemptLog log;
        private final Map<Long, Attempt> attempts = new HashMap<>();
        private final Deque<Runnable> local = new ArrayDeque<>();
        private long nextNumber;

        State(long retentionMillis) {
            reset(retentionMillis);
        }

        /** Forgets all claims, as after a restart, because entries were kept for the retention of their time. */
        private void reset(long retentionMillis) {
            settings = ClaimSettings.defaults(retentionMillis);
            voter = new ClaimVoter(self, incarnation, clock.nowMillis(), settings);
            log = new AttemptLog(settings);
        }

        /** Delivers messages of this host to itself one after another, because a reply can cause the next message. */
        void drainLocal() {
            for (Runnable next = local.poll(); next != null; next = local.poll()) {
                next.run();
            }
        }
    }

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param incarnation the run of this process
     * @param fleet what is known about the fleet
     * @param network the way to other hosts
     * @param random source of back-off times
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public ClaimService(
            HostId self,
            Incarnation incarnation,
            FleetState fleet,
            PeerNetwork network,
            RandomGenerator random,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.network = network;
        this.random = random;
        this.clock = clock;
        this.duty = supervisor.add(new Duty<>("claims", () -> new State(retentionMillis()), supervisor, clock)
                .every(TICK_MILLIS, this::tick));
        fleet.onSheet(() -> duty.offer(this::applySheet));
    }

    /**
     * Registers the messages of this duty.
     *
     * @param router passes messages on
     */
    public void register(PeerRouter router) {
        router.on(
                ClaimRequest.class,
                (from, m, reply) -> duty.offer(s -> answer(s, m).ifPresent(reply)));
        router.on(
                ClaimAbort.class,
                (from, m, reply) -> duty.offer(s -> answer(s, m).ifPresent(reply)));
        router.on(
                OutcomeQuery.class,
                (from, m, reply) -> duty.offer(s -> answer(s, m).ifPresent(reply)));
        router.on(ClaimOutcome.class, (from, m, reply) -> duty.offer(s -> answer(s, m)));
    }

    /**
     * Starts the claim of a request.
     *
     * @param call the request
     * @param work what to do when the claim is decided
     */
    public void start(ClaimCall call, ClaimedWork work) {
        boolean taken = duty.offer(state -> {
            long number = state.nextNumber++;
            ClaimCoordinator coordinator = new ClaimCoordinator(call, state.ids, state.log, state.settings, random);
            Attempt attempt = new Attempt(coordinator, work);
            state.attempts.put(number, attempt);
            perform(state, number, coordinator.start(view(), clock.nowMillis()));
            state.drainLocal();
        });
        if (!taken) {
            work.refused(Refusal.unknown(
                    RefusalCode.OVERLOADED, "This host has too many claims to decide; try again or use another host."));
        }
    }

    /**
     * Gives how many tasks wait for this duty.
     *
     * @return the backlog of its inbox
     */
    public int backlog() {
        return duty.backlog();
    }

    private long retentionMillis() {
        return fleet.now().sheet().claimRetentionSeconds() * 1_000L;
    }

    private void applySheet(State state) {
        if (state.settings.retentionMillis() != retentionMillis()) {
            state.reset(retentionMillis());
        }
    }

    private EpochView view() {
        return fleet.now().epochs();
    }

    private Optional<PeerMessage> answer(State state, PeerMessage message) {
        long now = clock.nowMillis();
        if (message instanceof ClaimRequest request) {
            return Optional.of(state.voter.onRequest(request, view(), now));
        }
        if (message instanceof ClaimAbort abort) {
            return state.voter.onAbort(abort, view(), now).map(PeerMessage.class::cast);
        }
        if (message instanceof OutcomeQuery query) {
            return Optional.of(query.toHolder() ? state.log.answer(query) : state.voter.onQuery(query, now));
        }
        if (message instanceof ClaimOutcome outcome) {
            state.voter.onOutcome(outcome, now);
        }
        return Optional.empty();
    }

    private void tick(State state, long nowMillis) {
        state.voter.observe(view(), nowMillis);
        HostEpoch epoch = view().current().epoch();
        boolean newEpoch = !epoch.equals(state.epoch);
        state.epoch = epoch;
        for (Map.Entry<Long, Attempt> entry : List.copyOf(state.attempts.entrySet())) {
            if (newEpoch || nowMillis >= entry.getValue().wakeAtMillis) {
                perform(state, entry.getKey(), entry.getValue().coordinator.timer(view(), nowMillis));
            }
        }
        state.drainLocal();
    }

    private void perform(State state, long number, List<ClaimAction> actions) {
        Attempt attempt = state.attempts.get(number);
        if (attempt == null) {
            return;
        }
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Send send) {
                send(state, number, send.to(), send.message());
            } else if (action instanceof ClaimAction.WaitUntil wait) {
                attempt.wakeAtMillis = wait.atMillis();
            } else if (action instanceof ClaimAction.Dispatch) {
                attempt.work.granted(new AttemptHandle(number));
            } else if (action instanceof ClaimAction.Refuse refuse) {
                attempt.work.refused(refuse.refusalAt(clock.nowMillis()));
            } else if (action instanceof ClaimAction.Relay relay) {
                attempt.work.relayed(relay.outcome());
            }
        }
        if (attempt.coordinator.isEnded()) {
            state.attempts.remove(number);
        }
    }

    private void send(State state, long number, HostId to, PeerMessage message) {
        if (to.equals(self)) {
            state.local.add(() -> answer(state, message).ifPresent(reply -> replied(state, number, to, reply)));
            return;
        }
        boolean needsNoReply = message instanceof ClaimOutcome
                || message instanceof ClaimAbort abort && abort.barrierMillis() == ClaimAbort.RELEASE_ONLY;
        if (needsNoReply) {
            network.send(to, message);
            return;
        }
        network.ask(to, message, clock.nowMillis() + ANSWER_TIMEOUT_MILLIS)
                .thenAccept(reply -> duty.offer(s -> {
                    replied(s, number, to, reply);
                    s.drainLocal();
                }));
    }

    private void replied(State state, long number, HostId from, PeerMessage reply) {
        Attempt attempt = state.attempts.get(number);
        if (attempt != null) {
            perform(state, number, attempt.coordinator.reply(from, reply, view(), clock.nowMillis()));
        }
    }

    /** Hands reports of the work over to the duty. */
    private final class AttemptHandle implements Handle {

        private final long number;

        AttemptHandle(long number) {
            this.number = number;
        }

        @Override
        public void dispatch(Runnable send) {
            onDuty((state, attempt) -> {
                long now = clock.nowMillis();
                if (!attempt.coordinator.mayDispatch(view(), now)) {
                    perform(state, number, attempt.coordinator.timer(view(), now));
                    return;
                }
                perform(state, number, attempt.coordinator.dispatched(now));
                send.run();
            });
        }

        @Override
        public void withdraw(Refusal refusal) {
            onDuty((state, attempt) ->
                    perform(state, number, attempt.coordinator.withdraw(refusal, clock.nowMillis())));
        }

        @Override
        public void answered(int status, byte[] answer) {
            onDuty((state, attempt) ->
                    perform(state, number, attempt.coordinator.answered(status, answer, clock.nowMillis())));
        }

        @Override
        public void failed(Refusal refusal) {
            onDuty((state, attempt) -> perform(state, number, attempt.coordinator.failed(refusal, clock.nowMillis())));
        }

        private void onDuty(java.util.function.BiConsumer<State, Attempt> step) {
            Consumer<State> task = state -> {
                Attempt attempt = state.attempts.get(number);
                if (attempt != null) {
                    step.accept(state, attempt);
                    state.drainLocal();
                }
            };
            duty.offer(task);
        }
    }
}
