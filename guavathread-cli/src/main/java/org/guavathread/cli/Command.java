package org.guavathread.cli;

/**
 * A subcommand of the client. Implementations carry {@link CommandSpec} and args4j annotations; each run uses a new
 * instance.
 */
public interface Command {

    /**
     * Runs the command.
     *
     * @param terminal standard streams of the process
     * @return the exit code
     * @throws UsageException if an argument is invalid or a file that it names cannot be read
     */
    ExitCode run(Terminal terminal);

    /**
     * Tells whether usage errors may quote the arguments.
     *
     * @return false if an argument may be a secret
     */
    default boolean quotesArguments() {
        return true;
    }
}
