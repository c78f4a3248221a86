package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.guavathread.core.publish.StateChange;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.gateway.protocol.StoreClient;

/**
 * Brings the published state up to the store's present one, for conclusions from what this host has not heard of. A watch
 * that brings no news says nothing about the present: its connection may be silent, or this host may have stood still.
 * Requests that arrive during a call wait for the next one, which sees all that happened before them. Runs on the event
 * loop's thread.
 */
public final class StoreConfirmation implements RequestRouter.StoreWord {

    private static final long SHORTEST_WAIT_MILLIS = 1;

    /** Timeout of a call, since a caller waits for it. */
    private static final long TIMEOUT_MILLIS = 500;

    private final GatewayContext context;
    private final StoreClient store;
    private final Consumer<List<StateChange>> onChanges;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean calling;

    /**
     * Creates a confirmation.
     *
     * @param context the published state
     * @param store the store
     * @param onChanges receives what changed
     */
    public StoreConfirmation(GatewayContext context, StoreClient store, Consumer<List<StateChange>> onChanges) {
        this.context = context;
        this.store = store;
        this.onChanges = onChanges;
    }

    @Override
    public void confirm(Consumer<Boolean> onDone) {
        waiting.add(onDone);
        if (!calling) {
            call();
        }
    }

    private void call() {
        calling = true;
        List<Consumer<Boolean>> served = List.copyOf(waiting);
        waiting.clear();
        StorePosition from = context.state().position();
        store.watch(from.revision(), SHORTEST_WAIT_MILLIS, context.loop().nowMillis() + TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> context.loop().complete(() -> {
                    boolean isCurrent = failure == null && apply(from, reply);
                    context.log()
                            .entry("confirm")
                            .with("outcome", isCurrent ? "current" : "not confirmed")
                            .with("failure", failure == null ? "none" : failure.getMessage())
                            .with("revision", context.state().position().revision())
                            .write();
                    calling = false;
                    served.forEach(each -> each.accept(isCurrent));
                    if (!waiting.isEmpty() && !calling) {
                        call();
                    }
                }));
    }

    private boolean apply(StorePosition from, StoreClient.Reply reply) {
        boolean continues = !reply.historyGone()
                && reply.position().epoch() == from.epoch()
                && context.state().position().epoch() == from.epoch();
        if (continues) {
            onChanges.accept(context.state()
                    .applyEvents(reply.items(), reply.position(), context.loop().nowMillis()));
        }
        return continues;
    }
}
