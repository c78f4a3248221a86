package org.guavathread.router.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.limit.BudgetRequester;
import org.guavathread.core.limit.BudgetReturn;
import org.guavathread.core.limit.BudgetTake;
import org.guavathread.core.limit.HomeBudgets;
import org.guavathread.core.limit.LimitAction;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.time.Clock;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.flow.RefusedException;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.InboxFullException;
import org.guavathread.router.supervisor.Supervisor;

/**
 * Duty {@code limits}: grants budget as a home host, and obtains the budget of requests that arrived at this host.
 *
 * <pre>{@code
 * limits.admit(new BudgetRequest(id, workspace, tokens, kind, deadline)).thenRun(this::dispatch);
 * }</pre>
 */
public final class LimitService {

    private static final long TICK_MILLIS = 200;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private static final Refusal CANCELLED =
            Refusal.notRun(RefusalCode.DEADLINE, "The request was cancelled while it waited for its budget.");

    private final HostId self;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final Clock clock;
    private final Duty<State> duty;

    private static final class State {
        private final HomeBudgets budgets;
        private final BudgetRequester requester;
        private final Map<RequestId, CompletableFuture<Void>> waiting = new HashMap<>();

        State(HostId self, long instanceId) {
            budgets = new HomeBudgets(self, instanceId);
            requester = new BudgetRequester(self, instanceId, budgets);
        }
    }

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param fleet the current view of the fleet
     * @param network sends messages to other hosts
     * @param instanceIds gives a number that no earlier budget state of this host had, not even before a restart
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public LimitService(
            HostId self,
            FleetState fleet,
            PeerNetwork network,
            java.util.function.LongSupplier instanceIds,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.fleet = fleet;
        this.network = network;
        this.clock = clock;
        this.duty = supervisor.add(new Duty<State>("limits", () -> newState(instanceIds.getAsLong()), supervisor, clock)
                .every(TICK_MILLIS, this::tick)
                .wakingAt(state -> state.requester.nextWakeAtMillis()));
        fleet.onSheet(() -> duty.offer(this::applySheet));
    }

    /**
     * Registers the messages of this duty.
     *
     * @param router dispatches received messages
     */
    public void register(PeerRouter router) {
        router.on(
                BudgetTake.class,
                (from, take, reply) -> duty.offer(state ->
                        reply.accept(state.budgets.take(take, fleet.now().epochs(), clock.nowMillis()))));
        router.on(
                BudgetReturn.class,
                (from, message, reply) -> duty.offer(
                        state -> state.budgets.giveBack(message, fleet.now().epochs(), clock.nowMillis())));
    }

    /**
     * Obtains the budget of a request.
     *
     * @param request the request
     * @return completes when the request may run; fails with {@link RefusedException} or {@link InboxFullException}
     */
    public CompletableFuture<Void> admit(BudgetRequest request) {
        CompletableFuture<Void> admitted = new CompletableFuture<>();
        boolean taken = duty.offer(state -> {
            state.waiting.put(request.id(), admitted);
            perform(state, state.requester.submit(request, fleet.now().epochs(), clock.nowMillis()));
        });
        if (!taken) {
            admitted.completeExceptionally(new InboxFullException("limits", Duty.INBOX_CAPACITY));
        }
        return admitted;
    }

    /**
     * Ends an admitted request.
     *
     * @param request the request
     * @param unusedTokens the unused part of its charge, in tokens; it is refunded
     */
    public void end(RequestId request, long unusedTokens) {
        duty.offer(state -> perform(
                state, state.requester.onEnd(request, unusedTokens, fleet.now().epochs(), clock.nowMillis())));
    }

    /**
     * Removes a request that waits for its budget, for example because its caller has disconnected.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        duty.offer(state -> {
            complete(state, request, f -> f.completeExceptionally(new RefusedException(CANCELLED)));
            perform(state, state.requester.cancel(request, fleet.now().epochs(), clock.nowMillis()));
        });
    }

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
     */
    public int backlog() {
        return duty.backlog();
    }

    private State newState(long instanceId) {
        State state = new State(self, instanceId);
        applySheet(state);
        return state;
    }

    private void applySheet(State state) {
        FleetSnapshot now = fleet.now();
        if (now.hasSheet()) {
            state.budgets.onSheet(now.sheet(), now.epochs(), clock.nowMillis());
            state.requester.onSheet(now.sheet(), now.epochs(), clock.nowMillis());
        }
    }

    private void tick(State state, long nowMillis) {
        state.budgets.observe(fleet.now().epochs());
        perform(state, state.requester.onWake(fleet.now().epochs(), nowMillis));
    }

    private void perform(State state, List<LimitAction> actions) {
        for (LimitAction action : actions) {
            if (action instanceof LimitAction.Send send) {
                send(send.to(), send.message());
            } else if (action instanceof LimitAction.Admit admit) {
                complete(state, admit.request(), future -> future.complete(null));
            } else if (action instanceof LimitAction.Refuse refuse) {
                Refusal refusal = refuse.refusal();
                complete(state, refuse.request(), f -> f.completeExceptionally(new RefusedException(refusal)));
            }
        }
    }

    private static void complete(State state, RequestId request, Consumer<CompletableFuture<Void>> end) {
        CompletableFuture<Void> future = state.waiting.remove(request);
        if (future != null) {
            end.accept(future);
        }
    }

    private void send(HostId to, PeerMessage message) {
        if (!(message instanceof BudgetTake)) {
            network.send(to, message);
            return;
        }
        network.ask(to, message, clock.nowMillis() + ANSWER_TIMEOUT_MILLIS).thenAccept(answer -> {
            if (answer instanceof BudgetGrant grant) {
                duty.offer(state -> perform(
                        state, state.requester.onGrant(to, grant, fleet.now().epochs(), clock.nowMillis())));
            }
        });
    }
}
