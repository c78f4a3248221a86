package org.guavathread.cli;

/** How the program ended. */
public enum ExitCode {
    /** The command did its work. */
    OK(0, "ok"),
    /** The answer is no, for example an invalid sheet, or an expectation failed. */
    NO(1, "the answer is no, or an expectation failed"),
    /** The command line or a file named on it cannot be used. */
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
     * Gives the number for the operating system.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }

    /**
     * Gives the meaning for the help.
     *
     * @return a few words
     */
    public String meaning() {
        return meaning;
    }
}
