package org.guavathread.cli;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a demo, the first thing that a reader of the project runs, that no longer matches the daemons. */
class DemoTest {

    @Test
    void allExpectationsHold() {
        Cli cli = new Cli();
        assertEquals(0, cli.run("demo"), () -> cli.out() + cli.err());
        assertTrue(cli.out().contains("goodput: "), cli.out());
        assertTrue(cli.out().contains("expectations hold"), cli.out());
    }
}
