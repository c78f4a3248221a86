package org.guavathread.cli.demo;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;

import com.fasterxml.jackson.databind.JsonNode;

/** Runs all scenarios of the demo in sequence and prints whether their expectations hold. */
final class Demo {

    /** The first host epoch settles about 12 s after the start; twice that time allows for a busy machine. */
    private static final long START_TIMEOUT_MILLIS = 25_000;

    private final Terminal terminal;
    private final DemoReport report;
    private final DemoMeasures measures = new DemoMeasures();

    Demo(Terminal terminal) {
        this.terminal = terminal;
        this.report = new DemoReport(terminal);
    }

    ExitCode run() {
        long startNanos = System.nanoTime();
        try (DemoFleet fleet = new DemoFleet();
                DemoCaller caller = new DemoCaller()) {
            DemoContext context = new DemoContext(fleet, caller, report, measures);
            if (start(fleet, context)) {
                runScenarios(context);
            }
        } catch (IOException e) {
            report.expect(false, "the stand-ins can listen on the loopback: " + e.getMessage());
        }
        return printResult((System.nanoTime() - startNanos) / 1e9);
    }

    private boolean start(DemoFleet fleet, DemoContext context) throws IOException {
        report.title("Start: 3 hosts in 3 data centres, 2 prefill engines, 2 decode engines, 2 plain services");
        fleet.start();
        hosts(fleet)
                .forEach(host -> report.line(fleet.hostId(host) + "  callers " + fleet.callerAddress(host) + "  admin "
                        + fleet.adminAddress(host)));
        report.line("waiting for the first epoch leases, about 12 s");
        boolean serving = report.expect(
                DemoContext.await(
                        START_TIMEOUT_MILLIS, () -> hosts(fleet).allMatch(host -> isServing(context.status(host)))),
                "all hosts are ready, hold their lease, and their epoch is settled");
        if (!serving) {
            hosts(fleet).forEach(host -> report.line(context.status(host).toString()));
            return false;
        }
        return report.expect(
                DemoContext.await(DemoContext.STATE_TIMEOUT_MILLIS, () -> acceptsBookings(context)),
                "the claim voters take bookings; those of a new epoch do so 2 s later, for keys issued after it");
    }

    private static IntStream hosts(DemoFleet fleet) {
        return IntStream.range(0, fleet.size());
    }

    private static boolean acceptsBookings(DemoContext context) {
        return hosts(context.fleet())
                .allMatch(host -> context.booking(host, DemoContext.newIdempotencyKey())
                        .sendAndWait()
                        .isOk());
    }

    private static boolean isServing(JsonNode status) {
        return List.of("ready", "leaseHeld", "epochSettled").stream()
                .allMatch(field -> status.path(field).asBoolean());
    }

    private void runScenarios(DemoContext context) {
        new RequestKindsScenario(context).run();
        new BurstScenario(context).run();
        new WithdrawnKeyScenario(context).run();
        measures.setPrefills(context.fleet().prefillRuns(), context.fleet().usedPrefillRuns());
        new HostLossScenario(context).run();
        report.title("Over the whole run");
        report.expect(
                List.of(DemoFleet.ORCHARDS.key(), DemoFleet.BUYERS.key(), DemoFleet.WITHDRAWN_KEY).stream()
                        .noneMatch(context.fleet()::anyStandinReceived),
                "no backend server saw an API key");
        report.expect(!context.fleet().hasDutyFailed(), "no duty of a daemon failed too often");
        measures.print(report);
    }

    private ExitCode printResult(double seconds) {
        terminal.out().println();
        List<String> failures = report.failures();
        if (failures.isEmpty()) {
            terminal.out()
                    .println(String.format(
                            Locale.ROOT, "demo: all %d expectations hold (%.0f s)", report.expectations(), seconds));
            return ExitCode.OK;
        }
        terminal.out()
                .println(String.format(
                        Locale.ROOT,
                        "demo: %d of %d expectations failed (%.0f s):",
                        failures.size(),
                        report.expectations(),
                        seconds));
        failures.forEach(failure -> terminal.out().println("  " + failure));
        return ExitCode.NEGATIVE;
    }
}
