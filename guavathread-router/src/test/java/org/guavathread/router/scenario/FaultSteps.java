package org.guavathread.router.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.guavathread.standin.FakeDecodeEngine;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Steps on processes that are killed or paused, dropped connections, and callers that disconnect. */
public class FaultSteps {

    private static final String BOOKING = "/v1/services/booking";

    private final TestFleet fleet = TestFleet.get();
    private final List<StreamedAnswer> streams = new ArrayList<>();
    private final Map<String, CompletableFuture<Answer>> bookings = new LinkedHashMap<>();
    private final List<String> resent = new ArrayList<>();
    private String answeredKey = "";
    private Answer answered;
    private String runningKey = "";
    private int chosenHost;

    public FaultSteps() throws IOException {}

    @After
    public void closeStreams() {
        streams.forEach(StreamedAnswer::close);
    }

    private static String body(String key, int runMillis) {
        return "{\"lot\":\"" + key + "\",\"runMillis\":" + runMillis + "}";
    }

    private CompletableFuture<Answer> book(int host, String key, int runMillis) {
        return fleet.caller(host).idempotencyKey(key).postLater(BOOKING, body(key, runMillis));
    }

    @Given("host {int} has answered a booking")
    public void hasAnswered(int host) {
        answeredKey = UuidV7.next();
        answered = book(host, answeredKey, 1).join();
        assertEquals(200, answered.status(), answered.toString());
    }

    @Given("another booking of {int} ms runs at host {int}")
    public void bookingRuns(int millis, int host) throws InterruptedException {
        runningKey = UuidV7.next();
        book(host, runningKey, millis);
        TestFleet.until("the booking runs", () -> fleet.runsOf(runningKey) == 1);
    }

    @When("host {int} is killed")
    public void kill(int host) throws InterruptedException {
        fleet.daemon(host).kill();
    }

    @Then("a resend of the answered booking at host {int} gets the stored answer")
    public void storedAnswer(int host) {
        Answer again = book(host, answeredKey, 1).join();
        assertEquals(200, again.status(), again.toString());
        assertEquals(answered.body(), again.body());
    }

    @Then("resends of the running booking at hosts {int} and {int}, beyond the retention of {int} s, are unknown")
    public void resendsAreUnknown(int first, int second, int retentionSeconds) throws InterruptedException {
        long endNanos = System.nanoTime() + (retentionSeconds + 2) * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            for (int host : List.of(first, second)) {
                Answer again = book(host, runningKey, 1).join();
                assertTrue(again.status() >= 400, "a booking whose outcome nobody knows was answered: " + again);
                assertEquals("unknown", again.run(), again.toString());
                assertEquals(1, fleet.runsOf(runningKey));
            }
            Thread.sleep(200);
        }
    }

    @Then("each of the two bookings ran once")
    public void eachRanOnce() {
        assertEquals(1, fleet.runsOf(answeredKey));
        assertEquals(1, fleet.runsOf(runningKey));
    }

    @Given("{int} streams of {int} tokens run at the owner of the cell")
    public void streamsAtOwner(int count, int tokens) throws InterruptedException {
        streamsAtCellHost(count, tokens, true);
    }

    @Given("{int} streams of {int} tokens run at a host that does not own the cell")
    public void streamsAtOther(int count, int tokens) throws InterruptedException {
        streamsAtCellHost(count, tokens, false);
    }

    private void streamsAtCellHost(int count, int tokens, boolean owner) throws InterruptedException {
        chosenHost = IntStream.rangeClosed(1, TestFleet.HOSTS)
                .filter(host -> (fleet.status(host).path("ownedCells").asInt() > 0) == owner)
                .findFirst()
                .orElseThrow();
        streamsRun(count, tokens, chosenHost);
    }

    @Given("{int} stream(s) of {int} tokens run(s) at host {int}")
    public void streamsRun(int count, int tokens, int host) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            streams.add(fleet.caller(host).stream("summary " + UuidV7.next(), tokens));
        }
        TestFleet.until(
                "each stream has begun",
                () -> streams.stream().allMatch(stream -> stream.tokens().size() > 2));
        assertTrue(fleet.usedPieces() >= count);
    }

    @When("that host is killed")
    public void killChosen() throws InterruptedException {
        kill(chosenHost);
    }

    @Then("within {int} s the engines hold no request and no pieces")
    public void enginesHoldNothing(int seconds) throws InterruptedException {
        TestFleet.until(
                "the engines hold nothing",
                seconds * 1_000L,
                () -> fleet.heldOnEngines() == 0 && fleet.usedPieces() == 0);
    }

    @Given("{int} bookings of {int} ms are sent to host {int} until one runs")
    public void manyBookings(int count, int millis, int host) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            String key = UuidV7.next();
            bookings.put(key, book(host, key, millis));
        }
        TestFleet.until("a booking runs", () -> bookings.keySet().stream().anyMatch(key -> fleet.runsOf(key) > 0));
    }

    @When("host {int} is paused")
    public void pause(int host) throws IOException, InterruptedException {
        fleet.daemon(host).signal("STOP");
    }

    @When("{int} more bookings are sent to host {int}")
    public void moreBookings(int count, int host) {
        for (int i = 0; i < count; i++) {
            String key = UuidV7.next();
            bookings.put(key, book(host, key, 1));
        }
    }

    @When("every second booking is resent at host {int}")
    public void resend(int host) {
        int index = 0;
        for (String key : bookings.keySet()) {
            if (index++ % 2 == 0) {
                resent.add(key);
                book(host, key, 1).join();
            }
        }
    }

    @Then("for {int} s hosts {int} and {int} answer lookups, bookings and summaries")
    public void othersAnswer(int seconds, int first, int second) throws InterruptedException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            for (int host : List.of(first, second)) {
                String key = UuidV7.next();
                for (Answer each : List.of(
                        fleet.caller(host).post("/v1/services/lookup", body(key, 1)),
                        book(host, key, 1).join(),
                        fleet.caller(host).post("/v1/chat/completions", Caller.languageBody(key, 3, false)))) {
                    assertEquals(200, each.status(), "host-" + host + ": " + each);
                }
            }
            Thread.sleep(200);
        }
    }

    @When("host {int} runs again")
    public void proceed(int host) throws IOException, InterruptedException {
        fleet.daemon(host).signal("CONT");
    }

    @Then("each booking is answered, ran at most once, and not at all where it was refused as not run")
    public void atMostOnce() {
        bookings.forEach((key, booking) -> {
            Answer each = booking.join();
            int runs = fleet.runsOf(key);
            assertTrue(runs <= 1, key + " ran " + runs + " times: " + each);
            if (each.status() == 200) {
                assertEquals(1, runs, key + " was answered but never ran: " + each);
            } else if (each.run().equals("not_run") && !resent.contains(key)) {
                assertEquals(0, runs, key + " ran although it was refused: " + each);
            } else {
                assertTrue(List.of("unknown", "not_run").contains(each.run()), each.toString());
            }
        });
    }

    @Given("service {int} drops the next connection {word} running the call")
    public void serviceDrops(int service, String when) {
        if (when.equals("before")) {
            fleet.services.get(service - 1).faults().dropBefore(1);
        } else {
            fleet.services.get(service - 1).faults().dropAfter(1);
        }
    }

    private boolean hasDropped(int service) {
        var faults = new Caller(fleet.services.get(service - 1).address())
                .get("/standin/faults")
                .json();
        return faults.path("dropBefore").asInt() == 0
                && faults.path("dropAfter").asInt() == 0;
    }

    @Then("lookups at host {int} are all answered until service {int} has dropped one")
    public void lookupsAnswered(int host, int service) throws InterruptedException {
        TestFleet.until("service-" + service + " drops a call", () -> {
            Answer each = fleet.caller(host).post("/v1/services/lookup", "{}");
            assertEquals(200, each.status(), each.toString());
            return hasDropped(service);
        });
    }

    @Then("of the bookings {word} a key at host {int} only the one that service {int} drops is unknown")
    public void bookingDropped(String with, int host, int service) throws InterruptedException {
        List<Answer> unknown = new ArrayList<>();
        TestFleet.until("service-" + service + " drops a booking", () -> {
            String key = UuidV7.next();
            Answer each = with.equals("with")
                    ? book(host, key, 1).join()
                    : fleet.caller(host).post(BOOKING, body(key, 1));
            assertTrue(runsOfBody(key) <= 1, key + " ran more than once");
            if (each.status() != 200) {
                assertEquals("OUTCOME_UNKNOWN", each.errorCode(), each.toString());
                assertEquals("unknown", each.run());
                unknown.add(each);
            }
            return hasDropped(service);
        });
        assertEquals(1, unknown.size(), unknown.toString());
    }

    private long runsOfBody(String text) {
        return fleet.services.stream()
                .flatMap(service -> service.allRuns().stream())
                .filter(run -> run.body().contains(text))
                .count();
    }

    @When("the decode engine of the stream drops its connection after {int} tokens")
    public void dropStream(int tokens) throws InterruptedException {
        FakeDecodeEngine engine = fleet.decodes.stream()
                .filter(each -> !each.heldRequests().isEmpty())
                .findFirst()
                .orElseThrow();
        int before = streams.get(0).tokens().size();
        assertTrue(before < tokens, before + " tokens have arrived already");
        engine.faults().dropStreamAfterTokens(tokens);
        TestFleet.until("the stream is resumed", () -> streams.get(0).tokens().size() > tokens + 1);
    }

    @Then("the stream ends whole and shows each of its {int} tokens once, in order")
    public void resumedInOrder(int tokens) {
        assertTrue(streams.get(0).awaitWhole(), "the stream was cut");
        List<Integer> indices = streams.get(0).tokens().stream()
                .map(token -> Integer.parseInt(token.substring(2, token.indexOf('-'))))
                .toList();
        assertEquals(IntStream.range(0, tokens).boxed().toList(), indices);
    }

    @When("the caller disconnects")
    public void disconnect() {
        streams.forEach(StreamedAnswer::close);
    }

    @Given("a whole answer of {int} tokens is being generated for a caller of host {int}")
    public void wholeAnswerRuns(int tokens, int host) throws InterruptedException {
        streams.add(fleet.caller(host).whole("summary " + UuidV7.next(), tokens));
        TestFleet.until(
                "a decode engine sends tokens",
                () -> fleet.decodes.stream()
                        .anyMatch(engine -> !engine.heldRequests().isEmpty() && engine.tokensSent() > 0));
    }
}
