package org.guavathread.cli;

/** Thrown if the arguments are invalid. The client then exits with {@link ExitCode#USAGE}. */
public class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message one line that names the offending value and tells how to correct it
     */
    public UsageException(String message) {
        super(message);
    }
}
