package org.guavathread.router.scenario;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.guavathread.standin.FakeDecodeEngine;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Steps on new sheets, the shutdown of a host, and an unavailable configuration service. */
public class OperationSteps {

    private static final String LOOKUP = "/v1/services/lookup";
    private static final String BOOKING = "/v1/services/booking";
    private static final String CHAT = "/v1/chat/completions";
    private static final int IN_FORCE_TIMEOUT_MILLIS = 5_000;

    private final TestFleet fleet = TestFleet.get();
    private final String mark = UuidV7.next();
    private StreamedAnswer stream;
    private KeptConnection connection;
    private CompletableFuture<Answer> running;
    private long versionBefore;

    public OperationSteps() throws IOException {}

    @After
    public void restore() {
        if (stream != null) {
            stream.close();
        }
        if (connection != null) {
            connection.close();
        }
        if (fleet.sheets.restore()) {
            fleet.publish();
        }
    }

    @Given("a stream of {int} tokens runs at host {int} under the second workspace's key")
    public void streamUnderKey(int tokens, int host) throws InterruptedException {
        stream = new Caller(fleet.callers(host)).key(Sheets.VASCONCELOS_KEY).stream("summary " + mark, tokens);
        TestFleet.until("the stream has begun", () -> stream.tokens().size() > 2);
    }

    @Given("a kept-alive connection to host {int} has been used with that key")
    public void keptConnection(int host) throws IOException {
        connection = new KeptConnection(fleet.callers(host));
        Answer answer = connection.post(LOOKUP, Sheets.VASCONCELOS_KEY, "{}");
        assertEquals(200, answer.status(), answer.toString());
    }

    @Given("a {word} of {int} ms runs at host {int} under that key")
    public void callRuns(String route, int millis, int host) throws InterruptedException {
        running = new Caller(fleet.callers(host))
                .key(Sheets.VASCONCELOS_KEY)
                .postLater("/v1/services/" + route, "{\"lot\":\"" + mark + "\",\"runMillis\":" + millis + "}");
        TestFleet.until("the " + route + " runs", () -> runsOfMark() == 1);
    }

    private long runsOfMark() {
        return fleet.services.stream()
                .flatMap(service -> service.allRuns().stream())
                .filter(run -> run.body().contains(mark))
                .count();
    }

    @When("a new sheet withdraws that key")
    public void withdrawKey() throws InterruptedException {
        fleet.sheets.withdrawKey(Sheets.VASCONCELOS_KEY);
        publishEverywhere();
    }

    private void publishEverywhere() throws InterruptedException {
        long version = fleet.publish();
        TestFleet.until(
                "sheet " + version + " is in force on each host",
                IN_FORCE_TIMEOUT_MILLIS,
                () -> IntStream.rangeClosed(1, TestFleet.HOSTS)
                        .allMatch(
                                host -> fleet.status(host).path("sheetVersion").asLong() == version));
    }

    @Then("within {int} s the stream is cut")
    public void streamIsCut(int seconds) throws InterruptedException {
        TestFleet.until("the stream has ended", seconds * 1_000L, stream::hasEnded);
        assertFalse(stream.awaitWhole(), "the stream was completed under a withdrawn key");
    }

    @Then("the next request on the kept-alive connection is refused as KEY_UNKNOWN")
    public void nextIsRefused() throws IOException {
        Answer answer = connection.post(LOOKUP, Sheets.VASCONCELOS_KEY, "{}");
        assertEquals(401, answer.status(), answer.toString());
        assertEquals("KEY_UNKNOWN", answer.errorCode());
        assertEquals("not_run", answer.run());
    }

    @Then("the running call is refused as KEY_UNKNOWN with run unknown")
    public void runningIsRefused() {
        Answer answer = running.join();
        assertEquals(401, answer.status(), answer.toString());
        assertEquals("KEY_UNKNOWN", answer.errorCode());
        assertEquals("unknown", answer.run(), "the call has run: " + answer);
    }

    @When("a new sheet lets {word} and {word} leave")
    public void serversLeave(String first, String second) throws InterruptedException {
        fleet.sheets.leaving(first);
        fleet.sheets.leaving(second);
        publishEverywhere();
    }

    @Then("from {int} s later on service {int} and decode engine {int} get no new work")
    public void noNewWork(int seconds, int service, int decode) throws InterruptedException {
        Thread.sleep(seconds * 1_000L);
        int runs = fleet.services.get(service - 1).totalRuns();
        FakeDecodeEngine engine = fleet.decodes.get(decode - 1);
        long reserves = reservesOf(engine);
        for (int i = 0; i < 4; i++) {
            for (int host = 1; host <= TestFleet.HOSTS; host++) {
                allKindsAnswered(host);
            }
        }
        assertEquals(runs, fleet.services.get(service - 1).totalRuns());
        assertEquals(reserves, reservesOf(engine));
    }

    private static long reservesOf(FakeDecodeEngine engine) {
        return engine.received().all().stream()
                .filter(request -> request.target().startsWith("/engine/reserve"))
                .count();
    }

    private void allKindsAnswered(int host) {
        for (Answer each : java.util.List.of(
                fleet.caller(host).post(LOOKUP, "{}"),
                fleet.caller(host).idempotencyKey(UuidV7.next()).post(BOOKING, "{}"),
                fleet.caller(host).post(CHAT, Caller.languageBody("summary " + UuidV7.next(), 2, false)))) {
            assertEquals(200, each.status(), "host-" + host + ": " + each);
        }
    }

    @When("an invalid sheet is published")
    public void invalidSheet() {
        versionBefore = fleet.status(1).path("sheetVersion").asLong();
        fleet.publishText("{\"version\":" + fleet.nextVersion() + ",\"hosts\":[{\"id\":\"host-1\"}]}");
    }

    @Then("a host reports that it refused the sheet")
    public void reportsRefusal() throws InterruptedException {
        TestFleet.until(
                "a host reports the refused sheet",
                () -> IntStream.rangeClosed(1, TestFleet.HOSTS)
                        .anyMatch(host -> fleet.admin(host, "/audit")
                                        .at("/refused/version")
                                        .asLong()
                                == fleet.nextVersion() - 1));
    }

    @Then("each host answers under the last valid sheet")
    public void lastSheetInForce() {
        for (int host = 1; host <= TestFleet.HOSTS; host++) {
            assertEquals(versionBefore, fleet.status(host).path("sheetVersion").asLong());
            allKindsAnswered(host);
        }
    }

    @Then("the next valid sheet comes into force everywhere")
    public void nextSheet() throws InterruptedException {
        publishEverywhere();
    }

    @Given("a stream of {int} tokens and a booking of {int} ms run at host {int}")
    public void workRuns(int tokens, int millis, int host) throws InterruptedException {
        stream = fleet.caller(host).stream("summary " + mark, tokens);
        running = fleet.caller(host)
                .idempotencyKey(mark)
                .postLater(BOOKING, "{\"lot\":\"" + mark + "\",\"runMillis\":" + millis + "}");
        TestFleet.until("both run", () -> stream.tokens().size() > 2 && runsOfMark() == 1);
    }

    @When("host {int} gets SIGTERM")
    public void terminate(int host) throws IOException, InterruptedException {
        fleet.daemon(host).signal("TERM");
    }

    @Then("within {int} s hosts {int} and {int} no longer name host {int} to callers")
    public void notNamed(int seconds, int first, int second, int leaving) throws InterruptedException {
        String address = fleet.callers(leaving);
        TestFleet.until(
                "host-" + leaving + " is not named",
                seconds * 1_000L,
                () -> !isNamed(first, address) && !isNamed(second, address));
    }

    private boolean isNamed(int host, String address) {
        return fleet.caller(host).get("/v1/entry").body().contains(address);
    }

    @Then("host {int} serves new lookups until it refuses them as DRAINING and not run")
    public void drainingRefusal(int host) throws InterruptedException {
        TestFleet.until("new work is refused", () -> {
            Answer answer = fleet.caller(host).post(LOOKUP, "{}");
            if (answer.status() == 200) {
                return false;
            }
            assertEquals("DRAINING", answer.errorCode(), answer.toString());
            assertEquals("not_run", answer.run());
            return true;
        });
    }

    @Then("the stream ends whole with {int} tokens and the booking is answered")
    public void workIsFinished(int tokens) {
        assertTrue(stream.awaitWhole(), "the drain cut a stream");
        assertEquals(tokens, stream.tokens().size());
        Answer answer = running.join();
        assertEquals(200, answer.status(), answer.toString());
        assertEquals(1, runsOfMark());
    }

    @Then("host {int} exits with code {int}")
    public void exits(int host, int code) throws InterruptedException {
        assertEquals(code, fleet.daemon(host).awaitExit());
    }

    @When("the configuration service goes down")
    public void configurationDown() {
        fleet.config.down(true);
    }

    @When("the configuration service is back")
    public void configurationUp() {
        fleet.config.down(false);
    }

    @Then("for {int} s each host answers requests of each kind")
    public void eachAnswers(int seconds) throws InterruptedException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            for (int host = 1; host <= TestFleet.HOSTS; host++) {
                allKindsAnswered(host);
            }
            Thread.sleep(200);
        }
    }
}
