package org.guavathread.router.scenario;

import java.io.IOException;

import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.en.Given;

/** Starts the fleet, and ends faults after each scenario. */
public class FleetSteps {

    @Given("a fleet of three ready hosts")
    public void fleet() throws IOException, InterruptedException {
        TestFleet.get().awaitReady();
    }

    @After
    public void reset() throws IOException, InterruptedException {
        TestFleet.get().reset();
    }

    /** Ends all processes, also after a failure. */
    @AfterAll
    public static void end() {
        TestFleet.stop();
    }
}
