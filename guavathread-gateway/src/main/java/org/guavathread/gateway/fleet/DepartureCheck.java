package org.guavathread.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.publish.StateChange;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.protocol.EngineReport;
import org.guavathread.router.http.HttpResponse;

/**
 * Asks servers whether they leave, where an answer said so that may have come from them or from an earlier process under
 * their id. Runs on the event loop's thread.
 */
public final class DepartureCheck {

    private static final long TIMEOUT_MILLIS = 600;

    /** Time between two questions to a server that does not answer. */
    private static final long INTERVAL_MILLIS = 1_000;

    private final GatewayContext context;
    private final Consumer<List<StateChange>> onChanges;
    private final Map<BackendServerId, Long> nextAskMillis = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param context source of the servers
     * @param onChanges receives what changed in the published state
     */
    public DepartureCheck(GatewayContext context, Consumer<List<StateChange>> onChanges) {
        this.context = context;
        this.onChanges = onChanges;
    }

    /** Asks the servers that are due. */
    public void step() {
        List<Worker> unconfirmed = context.state().unconfirmed().stream()
                .filter(w -> !context.state().registry().isEvacuated(w))
                .toList();
        nextAskMillis.keySet().retainAll(unconfirmed.stream().map(Worker::id).toList());
        long now = context.loop().nowMillis();
        context.pauses().withoutPause(unconfirmed, now).stream()
                .filter(w -> now >= nextAskMillis.getOrDefault(w.id(), now))
                .forEach(w -> ask(w, now));
    }

    private void ask(Worker server, long nowMillis) {
        nextAskMillis.put(server.id(), nowMillis + INTERVAL_MILLIS);
        context.ask(
                server,
                context.backendProtocol().report(server, nowMillis + TIMEOUT_MILLIS),
                (answer, failure) -> answered(server, answer, failure));
    }

    /** What an answer says of a departure has been read by now, as that of any answer. */
    private void answered(Worker server, HttpResponse answer, Throwable failure) {
        if (failure == null && isOfProcess(server, answer)) {
            onChanges.accept(context.state().applyInUse(server, context.loop().nowMillis()));
        }
    }

    private boolean isOfProcess(Worker server, HttpResponse answer) {
        OptionalLong stated = context.backendProtocol()
                .reportOf(server, answer)
                .map(EngineReport::startedAtMillis)
                .orElse(OptionalLong.empty());
        return stated.isEmpty() || stated.getAsLong() == server.startedAtMillis();
    }
}
