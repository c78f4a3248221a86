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
 * Duty {@code claims}: votes on claims of other hosts and coordinates the claims of requests that arrived here.
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

    /** Callbacks of a request with an idempotency key for the result of its claim. Called on the duty's thread. */
    public interface ClaimedWork {

        /**
         * Called when the claim is granted. The work takes its budget and then calls {@link Handle#dispatch} or
         * {@link Handle#withdraw}. Called again if a new host epoch required another vote before the dispatch.
         *
         * @param handle reports back to the claim
         */
        void granted(Handle handle);

        /**
         * Called when the claim ended in a refusal.
         *
         * @param refusal the refusal to send to the caller
         */
        void refused(Refusal refusal);

        /**
         * Called when the caller is to get the answer of an attempt, this one or an earlier one.
         *
         * @param outcome holds the answer
         */
        void relayed(ClaimOutcome outcome);
    }

    /** Reports the progress of a request to its claim. All methods may be called from any thread. */
    public interface Handle {

        /**
         * Sends the request if its claim still permits that.
         *
         * @param send sends the request; runs on the duty's thread immediately after the check, and must not block
         */
        void dispatch(Runnable send);

        /**
         * Withdraws the request before it was sent.
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
        private final Deque<Runnable> localMessages = new ArrayDeque<>();
        private long nextNumber;

        State(long retentionMillis) {
            reset(retentionMillis);
        }

        /** Discards all claims, as a restart does, because existing entries were kept for the previous retention. */
        private void reset(long retentionMillis) {
            settings = ClaimSettings.defaults(retentionMillis);
            voter = new ClaimVoter(self, incarnation, clock.nowMillis(), settings);
            log = new AttemptLog(settings);
        }

        /** Delivers messages from this host to itself through a queue, because handling a reply can send the next message. */
        void deliverLocalMessages() {
            for (Runnable next = localMessages.poll(); next != null; next = localMessages.poll()) {
                next.run();
            }
        }
    }

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param incarnation identifies the run of this process
     * @param fleet the current view of the fleet
     * @param network sends messages to other hosts
     * @param random source of randomness for attempt ids and backoff
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
     * @param router dispatches received messages
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
     * @param work receives the result of the claim
     */
    public void start(ClaimCall call, ClaimedWork work) {
        boolean taken = duty.offer(state -> {
            long number = state.nextNumber++;
            ClaimCoordinator coordinator = new ClaimCoordinator(call, state.ids, state.log, state.settings, random);
            Attempt attempt = new Attempt(coordinator, work);
            state.attempts.put(number, attempt);
            perform(state, number, coordinator.start(view(), clock.nowMillis()));
            state.deliverLocalMessages();
        });
        if (!taken) {
            work.refused(Refusal.unknown(
                    RefusalCode.OVERLOADED, "This host has too many claims to decide; try again or use another host."));
        }
    }

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
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
        state.deliverLocalMessages();
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
            state.localMessages.add(() -> answer(state, message).ifPresent(reply -> replied(state, number, to, reply)));
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
                    s.deliverLocalMessages();
                }));
    }

    private void replied(State state, long number, HostId from, PeerMessage reply) {
        Attempt attempt = state.attempts.get(number);
        if (attempt != null) {
            perform(state, number, attempt.coordinator.reply(from, reply, view(), clock.nowMillis()));
        }
    }

    /** Passes the reports of the work to the thread of the duty. */
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
                    state.deliverLocalMessages();
                }
            };
            duty.offer(task);
        }
    }
}
