package org.guavathread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against failed requests whose cause cannot be determined from the log lines. */
class LogExplainTest {

    private static final String REFUSED = """
            {"at":1000,"host":"edge-linares-2","event":"state","what":"server","name":"i-1","outcome":"gone","revision":20,"source":"store watch"}
            {"at":2930,"host":"edge-linares-2","event":"admit","id":"8721635cc52c0e7e","kind":"STREAM","workspace":"kacu391","charge":6404.0,"deadlineInMillis":12951}
            {"at":2930,"host":"edge-curico-1","event":"state","what":"server","name":"i-9","outcome":"gone","revision":20,"source":"store watch"}
            {"at":2935,"host":"edge-linares-2","event":"result","id":"8721635cc52c0e7e","server":"i-5","step":"reserve","failure":"status 503"}
            {"at":2935,"host":"edge-linares-2","event":"wait","id":"8721635cc52c0e7e","outcome":"refused","full":1,"untilMillis":2699,"best":"ON_TIME_ABOVE_PART","lineMillis":3792}
            {"at":2936,"host":"edge-linares-2","event":"end","id":"8721635cc52c0e7e","outcome":"refused NO_ROOM","status":503,"millis":6,"runs":0}
            """;

    private static final String UNKNOWN = """
            {"at":10,"host":"h1","event":"admit","id":"83b8d1b1c3470fbf","kind":"NON_IDEMPOTENT","workspace":"lopu662"}
            {"at":11,"host":"h1","event":"send","id":"83b8d1b1c3470fbf","server":"i-045f4556ee","runMillis":534}
            {"at":33,"host":"h1","event":"result","id":"83b8d1b1c3470fbf","server":"i-045f4556ee","meaning":"BROKEN","failure":"the connection was closed."}
            {"at":33,"host":"h1","event":"end","id":"83b8d1b1c3470fbf","outcome":"refused BACKEND_FAILED","status":502,"millis":23,"runs":1}
            """;

    @Test
    void refusalIsExplainedWithEventsOfItsHostOnly() {
        Cli cli = new Cli().input(REFUSED);
        assertEquals(0, cli.run("log", "explain", "--request", "8721635cc52c0e7e"));
        assertTrue(cli.out().contains("name=i-1  outcome=gone"), cli.out());
        assertFalse(cli.out().contains("i-9"), "event of another host: " + cli.out());
        assertTrue(
                cli.out()
                        .contains("No server had room: 1 reservations were turned down, the best waiting request of the"
                                + " host was ON_TIME_ABOVE_PART."),
                cli.out());
    }

    @Test
    void unknownOutcomeNamesTheServerAndTheFailure(@TempDir Path folder) throws IOException {
        Path log = folder.resolve("h1.log");
        Files.writeString(log, "not a line\n" + UNKNOWN.replace("{\"at\"", " 12.5 h1 {\"at\""));
        Cli cli = new Cli();
        assertEquals(0, cli.run("log", "explain", "--request", "83b8d1b1c3470fbf", "--log", log.toString()));
        assertTrue(
                cli.out()
                        .contains("after 23 ms, 1 runs. The last send, to server i-045f4556ee, was BROKEN:"
                                + " the connection was closed."),
                cli.out());
        assertTrue(cli.err().contains("1 lines are no JSON objects"), cli.err());
    }

    @Test
    void refusalBeforeDispatchShowsItsReason() {
        Cli cli = new Cli()
                .input("{\"at\":1,\"host\":\"h1\",\"event\":\"refuse\",\"id\":\"a1\",\"code\":\"RATE_LIMITED\","
                        + "\"reason\":\"Workspace w has used up its rate.\"}\n");
        assertEquals(0, cli.run("log", "explain", "--request", "a1"));
        assertTrue(cli.out().contains("Refused before dispatch: Workspace w has used up its rate."), cli.out());
    }

    @Test
    void unknownRequestAndMissingFileAreReported() {
        Cli unknown = new Cli().input(UNKNOWN);
        assertEquals(1, unknown.run("log", "explain", "--request", "nobody"));
        assertTrue(unknown.out().contains("None of 4 lines names request nobody."), unknown.out());
        Cli missing = new Cli();
        assertEquals(2, missing.run("log", "explain", "--request", "a1", "--log", "no-such-file"));
        assertTrue(missing.err().contains("no-such-file"), missing.err());
    }
}
