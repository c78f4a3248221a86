package org.guavathread.router.scenario;

import java.io.IOException;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Steps on requests that crash the engines that run them. */
public class CrashSteps {

    private static final String PATH = "/v1/chat/completions";
    private static final String MARKER = "crash-marker-7f3a";

    /** Time within which the report of a crash reaches all hosts: a probe of 500 ms and two messages. */
    private static final long REPORT_PROPAGATION_MILLIS = 2_000;

    private final TestFleet fleet = TestFleet.get();

    public CrashSteps() throws IOException {}

    @After
    public void stopCrashing() {
        fleet.prefills.forEach(engine -> engine.faults().crashMarker("").restartAfterMillis(-1));
    }

    @Given("prefill engines crash on a marked prompt and start again after {int} s")
    public void enginesCrashOnMarker(int seconds) {
        fleet.prefills.forEach(engine -> engine.faults().crashMarker(MARKER).restartAfterMillis(seconds * 1_000L));
    }

    @When("the marked prompt is sent until two engines have crashed")
    public void sendUntilTwoCrashes() throws InterruptedException {
        for (int attempt = 0; attempt < 3 && crashes() < 2; attempt++) {
            Answer answer = send(1 + attempt % 3, MARKER);
            assertEquals("unknown", answer.run(), answer.toString());
            Thread.sleep(REPORT_PROPAGATION_MILLIS);
        }
        assertEquals(2, crashes());
    }

    @Then("each host refuses the marked prompt as CRASH_SUSPECT and no further engine crashes")
    public void refused() {
        for (int host = 1; host <= 3; host++) {
            Answer answer = send(host, MARKER);
            assertEquals("CRASH_SUSPECT", answer.errorCode(), "host-" + host + ": " + answer);
        }
        assertEquals(2, crashes());
    }

    @Then("each host answers other prompts again")
    public void othersAnswered() {
        for (int host = 1; host <= 3; host++) {
            Answer answer = send(host, "another prompt for host " + host);
            assertTrue(answer.status() == 200, "host-" + host + ": " + answer);
        }
    }

    private Answer send(int host, String prompt) {
        return fleet.caller(host).post(PATH, Caller.languageBody(prompt, 5, false));
    }

    private int crashes() {
        return (int)
                fleet.prefills.stream().mapToLong(engine -> engine.crashes()).sum();
    }
}
