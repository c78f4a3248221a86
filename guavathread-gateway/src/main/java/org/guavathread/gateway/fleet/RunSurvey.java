package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.registry.WorkerRegistry;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.gateway.protocol.EngineReport;

/**
 * Asks engines which streams they are running: the hosts that began them may all have ended, and the engines notice that
 * late, or state it late. A host asks when it starts, and when a caller takes up a stream that no host knows. Hosts that
 * start together share the engines among them. Runs on the event loop's thread.
 */
final class RunSurvey {

    /** Timeout of one report: a busy engine takes some hundred milliseconds. */
    private static final long REPORT_TIMEOUT_MILLIS = 600;

    /** Minimum time between the beginnings of two rounds of questions to the engines of a service. */
    private static final long MIN_ROUND_INTERVAL_MILLIS = 200;

    /** Maximum number of engines of a service that one host asks; of more engines, it asks those that it is assigned to. */
    private static final int MAX_ENGINES_PER_HOST = 64;

    private final GatewayContext context;
    private final BiConsumer<String, SoftwareVersion> onRun;
    private final RequestRouter.StoreWord storeWord;
    private final Predicate<String> isAssigned;
    private final Map<ServiceName, Round> rounds = new HashMap<>();

    /** Questions to the engines of a service, and those who wait for the answers. */
    private static final class Round {

        private final List<Runnable> waiting = new ArrayList<>();
        private long begunAtMillis;
        private int answersLeft;

        private void answered() {
            answersLeft--;
            if (answersLeft == 0) {
                List<Runnable> done = List.copyOf(waiting);
                waiting.clear();
                done.forEach(Runnable::run);
            }
        }
    }

    /**
     * Creates a survey.
     *
     * @param context source of the engines
     * @param onRun receives the attempts of the running streams, with their versions or the values that stand for them
     * @param storeWord is asked about engines that do not state the start of their process
     * @param isAssigned tells whether this host asks the engine with the given name
     */
    RunSurvey(
            GatewayContext context,
            BiConsumer<String, SoftwareVersion> onRun,
            RequestRouter.StoreWord storeWord,
            Predicate<String> isAssigned) {
        this.context = context;
        this.onRun = onRun;
        this.storeWord = storeWord;
        this.isAssigned = isAssigned;
    }

    /** Asks the engines that this host is assigned to. */
    void start() {
        engines(w -> true).stream()
                .filter(w -> isAssigned.test(w.id().value()))
                .forEach(engine -> ask(engine, () -> {}));
    }

    /**
     * Asks the engines of a service. Callers share the questions that are under way: reports are up to a second old, so
     * that a later question tells little more.
     *
     * @param service the service
     * @param onDone runs when all engines have answered or failed to, and their runs are recorded
     */
    void ask(ServiceName service, Runnable onDone) {
        Round round = rounds.computeIfAbsent(service, s -> new Round());
        round.waiting.add(onDone);
        if (round.waiting.size() == 1) {
            long now = context.loop().nowMillis();
            long fromMillis = Math.max(now, round.begunAtMillis + MIN_ROUND_INTERVAL_MILLIS);
            context.loop().schedule(fromMillis, () -> begin(service, round));
        }
    }

    private void begin(ServiceName service, Round round) {
        round.begunAtMillis = context.loop().nowMillis();
        List<Worker> engines = engines(w -> w.service().equals(service));
        if (engines.size() > MAX_ENGINES_PER_HOST) {
            engines.removeIf(w -> !isAssigned.test(w.id().value()));
        }
        // The round itself counts as a question, so that it ends if there is no engine.
        round.answersLeft = engines.size() + 1;
        engines.forEach(engine -> ask(engine, round::answered));
        round.answered();
    }

    /** Returns the engines that may be asked. */
    private List<Worker> engines(Predicate<Worker> filter) {
        WorkerRegistry registry = context.state().registry();
        long now = context.loop().nowMillis();
        return registry.ids().stream()
                .flatMap(id -> registry.find(id).stream())
                .filter(w -> w.stage().generates() && filter.test(w))
                .filter(w -> !context.pauses().isPaused(w, now) && !registry.isEvacuated(w))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private void ask(Worker engine, Runnable onDone) {
        long askedAtMillis = context.loop().nowMillis();
        context.ask(
                engine,
                context.backendProtocol().report(engine, askedAtMillis + REPORT_TIMEOUT_MILLIS),
                (answer, failure) -> {
                    Optional<EngineReport> report =
                            failure == null ? context.backendProtocol().reportOf(engine, answer) : Optional.empty();
                    log(engine, report, failure);
                    report.ifPresent(r -> context.notices().reported(engine, askedAtMillis, r));
                    learn(engine, report.filter(r -> !r.streams().isEmpty()), onDone);
                });
    }

    /** Records the runs in a report for the process that wrote it, which may be another one than the registered one. */
    private void learn(Worker engine, Optional<EngineReport> report, Runnable onDone) {
        OptionalLong stated = report.map(EngineReport::startedAtMillis).orElse(OptionalLong.empty());
        if (report.isPresent() && (stated.isEmpty() || engine.startedAtMillis() == 0)) {
            storeWord.confirm(isCurrent -> {
                if (isCurrent && isListed(engine)) {
                    record(report.get(), engine.softwareVersion());
                }
                onDone.run();
            });
            return;
        }
        report.ifPresent(r -> {
            ServerProcess process = new ServerProcess(engine.id(), stated.getAsLong());
            boolean isKnown = process.equals(engine.process());
            record(r, isKnown ? engine.softwareVersion() : SoftwareVersion.unknownOf(process));
        });
        onDone.run();
    }

    private boolean isListed(Worker engine) {
        return context.state()
                .registry()
                .find(engine.id())
                .filter(w -> w.process().equals(engine.process()))
                .isPresent();
    }

    private void record(EngineReport report, SoftwareVersion version) {
        report.streams().forEach(id -> onRun.accept(id, version));
    }

    private void log(Worker engine, Optional<EngineReport> report, Throwable failure) {
        context.log()
                .entry("survey")
                .with("server", engine.id())
                .with("serverVersion", engine.softwareVersion())
                .with("startedAt", engine.startedAtMillis())
                .with(
                        "statedStart",
                        report.map(r -> r.startedAtMillis().orElse(0)).orElse(0L))
                .with("streams", report.map(r -> r.streams().size()).orElse(0))
                .with("failure", failure == null ? "none" : failure.getMessage())
                .write();
    }
}
