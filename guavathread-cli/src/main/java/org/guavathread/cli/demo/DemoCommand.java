package org.guavathread.cli.demo;

import org.guavathread.cli.Command;
import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.router.log.Logs;
import org.kohsuke.args4j.Option;
import org.tinylog.configuration.Configuration;

/** Demonstrates three daemons that route requests to stand-ins. */
@CommandSpec(
        name = "demo",
        summary = "Runs three daemons against stand-ins in this process, and checks what callers get.",
        synopsis = "[--log-level LEVEL]",
        details = {
            "Uses free ports of the loopback only, and takes less than a minute; about 12 s of it pass until the hosts hold",
            "their first leases. Logs of the daemons go to standard error.",
        },
        example = "guavathread demo",
        exitCodes = {ExitCode.OK, ExitCode.NEGATIVE, ExitCode.USAGE})
public final class DemoCommand implements Command {

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "lowest level of the daemons' logs: info, warn or error")
    private Level logLevel = Level.WARN;

    /** Log levels of the daemons. */
    public enum Level {
        /** Normal operation. */
        INFO,
        /** Conditions that an operator should check. */
        WARN,
        /** Faults. */
        ERROR
    }

    @Override
    public ExitCode run(Terminal terminal) {
        if (!Configuration.isFrozen()) {
            Logs.configure(logLevel.name().toLowerCase(java.util.Locale.ROOT));
        }
        return new Demo(terminal).run();
    }
}
