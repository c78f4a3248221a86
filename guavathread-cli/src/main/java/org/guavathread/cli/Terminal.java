package org.guavathread.cli;

import java.io.BufferedReader;
import java.io.Console;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Standard input, output and error, with their interactive and colour capabilities.
 *
 * <pre>{@code
 * Terminal.system().out().println("ok");
 * }</pre>
 */
public final class Terminal {

    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;
    private final boolean interactive;
    private final boolean coloured;

    private Terminal(InputStream in, PrintStream out, PrintStream err, boolean interactive, boolean coloured) {
        this.in = in;
        this.out = out;
        this.err = err;
        this.interactive = interactive;
        this.coloured = coloured;
    }

    /** Text styles. */
    public enum Style {
        /** Headings. */
        BOLD("1"),
        /** Success or a normal state. */
        GOOD("32"),
        /** A condition that the operator should check. */
        WARNING("33"),
        /** Failure. */
        BAD("31");

        private final String code;

        Style(String code) {
            this.code = code;
        }
    }

    /**
     * Returns the standard streams of the process. Java reports only whether input and output are both a terminal, so a
     * command with redirected input counts as not interactive.
     *
     * @return the terminal; coloured if it is interactive and the variable NO_COLOR is not set
     */
    public static Terminal system() {
        boolean interactive = System.console() != null;
        boolean coloured = interactive && System.getenv("NO_COLOR") == null;
        return new Terminal(System.in, System.out, System.err, interactive, coloured);
    }

    /**
     * Creates a terminal from other streams.
     *
     * @param in standard input
     * @param out standard output
     * @param err standard error
     * @return a terminal that is neither interactive nor coloured
     */
    public static Terminal of(InputStream in, PrintStream out, PrintStream err) {
        return new Terminal(in, out, err, false, false);
    }

    /**
     * Returns a copy of this terminal with another interactive flag.
     *
     * @param value whether the output goes to a person and not to a program
     * @return the copy, which is not coloured
     */
    public Terminal interactive(boolean value) {
        return new Terminal(in, out, err, value, false);
    }

    public InputStream in() {
        return in;
    }

    public PrintStream out() {
        return out;
    }

    public PrintStream err() {
        return err;
    }

    public boolean isInteractive() {
        return interactive;
    }

    /**
     * Applies a style to a text.
     *
     * @param style the style
     * @param text the text
     * @return the text, with escape codes if the terminal is coloured
     */
    public String styled(Style style, String text) {
        return coloured ? "\u001b[" + style.code + "m" + text + "\u001b[0m" : text;
    }

    /**
     * Reads a secret from standard input, without echo if it is typed at a terminal.
     *
     * @return the first line without surrounding white space; the daemon strips the key of a request in the same way
     */
    public String readSecret() {
        Console console = interactive ? System.console() : null;
        if (console != null) {
            char[] typed = console.readPassword("API key: ");
            return typed == null ? "" : new String(typed).strip();
        }
        try {
            String line = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)).readLine();
            return line == null ? "" : line.strip();
        } catch (IOException e) {
            throw new UncheckedIOException("Standard input cannot be read: " + e.getMessage(), e);
        }
    }
}
