package org.guavathread.cli;

/**
 * One command of the program. Its class carries {@link CommandSpec} and args4j annotations; a new object is built for
 * each run.
 */
public interface Command {

    /**
     * Runs the command.
     *
     * @param terminal where to read and write
     * @return how it ended
     * @throws UsageException if an argument, or a file named by one, cannot be used
     */
    ExitCode run(Terminal terminal);

    /**
     * Tells whether messages about wrong usage may quote the arguments.
     *
     * @return false if an argument may be a secret
     */
    default boolean quotesArguments() {
        return true;
    }
}
