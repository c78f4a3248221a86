package org.guavathread.cli;

/** Exit codes of the client. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "ok"),
    /** The command ran, but its result is negative: for example, the sheet is invalid or an expectation failed. */
    NEGATIVE(1, "the answer is no, or an expectation failed"),
    /** The arguments are invalid, or a file that they name cannot be read. */
    USAGE(2, "wrong usage"),
    /** At least one host did not answer. */
    UNREACHABLE(3, "a host did not answer");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the numeric code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the explanation that the help text prints.
     *
     * @return a short phrase
     */
    public String meaning() {
        return meaning;
    }
}
