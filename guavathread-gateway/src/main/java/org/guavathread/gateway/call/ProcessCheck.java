package org.guavathread.gateway.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.protocol.EngineReport;
import org.guavathread.router.http.HttpResponse;

/**
 * Asks an engine which process of it answers. An engine that starts again keeps its id and address, so that neither an
 * answer nor an entry that was read before tells which process wrote the answer. What was known before a request was sent
 * and is confirmed after it was answered holds for the process that answered. Runs on the event loop's thread.
 */
final class ProcessCheck {

    /** What an engine said. */
    enum Outcome {
        /** The process is the expected one. */
        SAME,
        /** The engine does not answer, and the store lists the expected process. */
        LISTED,
        /** Another process answers. */
        OTHER,
        /** Neither the engine nor the store tells. */
        UNKNOWN;

        /** Returns whether a stream may go on at the engine. */
        boolean isConfirmed() {
            return this == SAME || this == LISTED;
        }
    }

    /** Timeout of a report: a busy engine takes some hundred milliseconds. */
    private static final long TIMEOUT_MILLIS = 600;

    private static final int MISDIRECTED = 421;

    private final GatewayContext context;
    private final BackendClient backendClient;
    private final RequestRouter.StoreWord storeWord;
    private final Map<Worker, List<Consumer<Outcome>>> waiting = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param context the registry, whose servers are updated by what they say
     * @param backendClient sends the questions
     * @param storeWord is asked about engines that do not state the start of their process
     */
    ProcessCheck(GatewayContext context, BackendClient backendClient, RequestRouter.StoreWord storeWord) {
        this.context = context;
        this.backendClient = backendClient;
        this.storeWord = storeWord;
    }

    /** Asks whether an engine is still the process that is expected; the answer is later than this call. */
    void ask(Worker expected, Consumer<Outcome> onDone) {
        List<Consumer<Outcome>> others = waiting.get(expected);
        if (others != null) {
            // A question that is under way may be answered with the state before this call.
            others.add(onDone);
            return;
        }
        waiting.put(expected, new ArrayList<>());
        send(expected, List.of(onDone));
    }

    /** Asks the store alone, for an engine that does not answer. */
    void askStore(Worker expected, Consumer<Outcome> onDone) {
        askStore(expected, Outcome.LISTED, onDone);
    }

    private void send(Worker expected, List<Consumer<Outcome>> asking) {
        long askedAtMillis = context.loop().nowMillis();
        if (context.isSpared(expected, askedAtMillis) || isLeaving(expected)) {
            askStore(expected, outcome -> done(expected, outcome, asking));
            return;
        }
        backendClient.send(
                expected,
                context.backendProtocol().report(expected, askedAtMillis + TIMEOUT_MILLIS),
                answer -> answered(expected, askedAtMillis, answer, outcome -> done(expected, outcome, asking)),
                failure -> askStore(expected, outcome -> done(expected, outcome, asking)));
    }

    private boolean isLeaving(Worker server) {
        return context.state()
                .registry()
                .find(server.id())
                .filter(Worker::draining)
                .isPresent();
    }

    private void done(Worker expected, Outcome outcome, List<Consumer<Outcome>> asking) {
        List<Consumer<Outcome>> next = waiting.remove(expected);
        if (!next.isEmpty()) {
            waiting.put(expected, new ArrayList<>());
            send(expected, next);
        }
        asking.forEach(each -> each.accept(outcome));
    }

    private void answered(Worker expected, long askedAtMillis, HttpResponse answer, Consumer<Outcome> onDone) {
        Optional<EngineReport> report = context.backendProtocol().reportOf(expected, answer);
        report.ifPresent(r -> context.notices().reported(expected, askedAtMillis, r));
        boolean statesStart =
                report.isPresent() && report.get().startedAtMillis().isPresent();
        if (statesStart && expected.startedAtMillis() != 0) {
            boolean isSame = report.get().startedAtMillis().getAsLong() == expected.startedAtMillis();
            conclude(expected, isSame ? Outcome.SAME : Outcome.OTHER, "its report", onDone);
        } else if (answer.status() == MISDIRECTED) {
            conclude(expected, Outcome.OTHER, "status " + answer.status(), onDone);
        } else {
            askStore(expected, report.isPresent() ? Outcome.SAME : Outcome.LISTED, onDone);
        }
    }

    /** Concludes from the store's present word, which is all that there is if the engine does not state its start. */
    private void askStore(Worker expected, Outcome listed, Consumer<Outcome> onDone) {
        storeWord.confirm(isCurrent -> {
            boolean isListed = context.state()
                    .registry()
                    .find(expected.id())
                    .filter(w -> w.process().equals(expected.process())
                            && w.softwareVersion().equals(expected.softwareVersion()))
                    .isPresent();
            Outcome outcome = isListed ? listed : Outcome.OTHER;
            conclude(expected, isCurrent ? outcome : Outcome.UNKNOWN, "the store", onDone);
        });
    }

    private void conclude(Worker expected, Outcome outcome, String source, Consumer<Outcome> onDone) {
        if (outcome != Outcome.SAME) {
            log(expected, outcome, source);
        }
        onDone.accept(outcome);
    }

    private void log(Worker expected, Outcome outcome, String reason) {
        context.log()
                .entry("process")
                .with("server", expected.id())
                .with("startedAt", expected.startedAtMillis())
                .with("outcome", outcome)
                .with("reason", reason)
                .write();
    }
}
