package org.guavathread.gateway.fleet;

import java.util.Optional;
import java.util.function.Predicate;

import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.gateway.protocol.EngineReport;

/**
 * Asks engines, when a host starts, which streams they are running: the hosts that began them may all have ended, and the
 * engines notice that late. Hosts that start together share the engines among them. Runs on the event loop's thread.
 */
public final class RunSurvey {

    /** Timeout of one report: a busy engine takes some hundred milliseconds. */
    private static final long REPORT_TIMEOUT_MILLIS = 600;

    private final GatewayContext context;
    private final OriginDirectory origins;
    private final RequestRouter.StoreWord storeWord;
    private final Predicate<String> isAssigned;

    /**
     * Creates a survey.
     *
     * @param context source of the engines
     * @param origins receives the versions of the running streams
     * @param storeWord is asked about engines that do not state the start of their process
     * @param isAssigned tells whether this host asks the engine with the given name
     */
    public RunSurvey(
            GatewayContext context,
            OriginDirectory origins,
            RequestRouter.StoreWord storeWord,
            Predicate<String> isAssigned) {
        this.context = context;
        this.origins = origins;
        this.storeWord = storeWord;
        this.isAssigned = isAssigned;
    }

    /** Asks the engines that this host is assigned to. */
    public void start() {
        context.state().registry().ids().stream()
                .flatMap(id -> context.state().registry().find(id).stream())
                .filter(w -> w.stage().generates() && isAssigned.test(w.id().value()))
                .forEach(this::ask);
    }

    private void ask(Worker engine) {
        long askedAtMillis = context.loop().nowMillis();
        context.ask(
                engine,
                context.backendProtocol().report(engine, askedAtMillis + REPORT_TIMEOUT_MILLIS),
                (answer, failure) -> {
                    Optional<EngineReport> report =
                            failure == null ? context.backendProtocol().reportOf(engine, answer) : Optional.empty();
                    log(engine, report, failure);
                    report.ifPresent(r -> {
                        context.notices().reported(engine, askedAtMillis, r);
                        learn(engine, r);
                    });
                });
    }

    /** Records the runs in a report for the process that wrote it, which may be another one than the registered one. */
    private void learn(Worker engine, EngineReport report) {
        if (report.streams().isEmpty()) {
            return;
        }
        if (report.startedAtMillis().isPresent() && engine.startedAtMillis() != 0) {
            long statedMillis = report.startedAtMillis().getAsLong();
            boolean isRegistered = statedMillis == engine.startedAtMillis();
            record(
                    report,
                    isRegistered
                            ? engine.softwareVersion()
                            : SoftwareVersion.unknownOf(new ServerProcess(engine.id(), statedMillis)));
            return;
        }
        storeWord.confirm(isCurrent -> {
            boolean isListed = context.state()
                    .registry()
                    .find(engine.id())
                    .filter(w -> w.process().equals(engine.process()))
                    .isPresent();
            if (isCurrent && isListed) {
                record(report, engine.softwareVersion());
            }
        });
    }

    private void record(EngineReport report, SoftwareVersion version) {
        report.streams().forEach(id -> origins.isRunning(id, version));
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
