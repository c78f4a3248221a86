package org.guavathread.cli;

/** The command line cannot be used. The program ends with {@link ExitCode#USAGE}. */
public class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param message one line that names the offending value and the way out
     */
    public UsageException(String message) {
        super(message);
    }
}
