package org.guavathread.cli;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a demo that no longer matches the daemons; it is the first thing that newcomers run. */
class DemoTest {

    @Test
    void allExpectationsHold() {
        Cli cli = new Cli();
        assertEquals(0, cli.run("demo"), () -> cli.out() + cli.err());
        assertTrue(cli.out().contains("goodput: "), cli.out());
        assertTrue(cli.out().contains("expectations hold"), cli.out());
    }
}
