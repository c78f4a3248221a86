package org.guavathread.cli.demo;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;

/** Prints the progress of the demo and collects the failed expectations. */
final class DemoReport {

    private final Terminal terminal;
    private final List<String> failures = new ArrayList<>();
    private int expectations;

    DemoReport(Terminal terminal) {
        this.terminal = terminal;
    }

    void title(String text) {
        terminal.out().println();
        terminal.out().println(terminal.styled(Style.BOLD, text));
    }

    void line(String text) {
        terminal.out().println("  " + text);
    }

    void answer(String label, String text) {
        terminal.out().printf("  %-46s %s%n", label, Texts.truncated(text));
    }

    /** Counts and prints an expectation, and records it as a failure if it does not hold. */
    boolean expect(boolean holds, String expectation) {
        expectations++;
        if (holds) {
            terminal.out().println("  " + terminal.styled(Style.GOOD, "ok") + "      " + expectation);
        } else {
            failures.add(expectation);
            terminal.out().println("  " + terminal.styled(Style.BAD, "FAILED") + "  " + expectation);
        }
        return holds;
    }

    List<String> failures() {
        return failures;
    }

    int expectations() {
        return expectations;
    }
}
