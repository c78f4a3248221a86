package org.guavathread.cli;

import java.util.Map;

import org.guavathread.cli.demo.DemoCommand;
import org.guavathread.cli.fleet.AuditCommand;
import org.guavathread.cli.fleet.BackendsCommand;
import org.guavathread.cli.fleet.ExplainCommand;
import org.guavathread.cli.fleet.StatusCommand;
import org.guavathread.cli.fleet.WorkspacesCommand;
import org.guavathread.cli.log.LogExplainCommand;
import org.guavathread.cli.sheet.CheckCommand;
import org.guavathread.cli.sheet.DiffCommand;
import org.guavathread.cli.sheet.HashKeyCommand;
import org.guavathread.router.Guavathreadd;

/** Entry point of the operators' client. */
public final class Guavathread {

    private static final int EXIT_INTERNAL = 70;

    private Guavathread() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        try {
            System.exit(commandLine(Terminal.system(), System.getenv())
                    .run(arguments)
                    .code());
        } catch (RuntimeException e) {
            System.err.println("guavathread: internal error: " + e);
            System.exit(EXIT_INTERNAL);
        }
    }

    /**
     * Creates the command line with all commands.
     *
     * @param terminal standard streams of the process
     * @param environment environment variables that set options which are not given as arguments
     * @return the command line
     */
    public static CommandLine commandLine(Terminal terminal, Map<String, String> environment) {
        return new CommandLine("guavathread", Guavathreadd.VERSION, terminal, environment)
                .add(StatusCommand::new)
                .add(WorkspacesCommand::new)
                .add(BackendsCommand::new)
                .add(AuditCommand::new)
                .add(ExplainCommand::new)
                .add(LogExplainCommand::new)
                .add(CheckCommand::new)
                .add(DiffCommand::new)
                .add(HashKeyCommand::new)
                .add(DemoCommand::new);
    }
}
