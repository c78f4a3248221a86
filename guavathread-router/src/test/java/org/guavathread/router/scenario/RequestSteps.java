package org.guavathread.router.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.guavathread.standin.FakeDecodeEngine;
import org.guavathread.standin.Standin;

import com.fasterxml.jackson.databind.JsonNode;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Steps on requests of each kind, without faults. */
public class RequestSteps {

    private static final String CHAT = "/v1/chat/completions";

    private final TestFleet fleet = TestFleet.get();
    private final String idempotencyKey = UuidV7.next();
    private final List<Answer> answers = new ArrayList<>();
    private String prompt = "";
    private Answer answer;
    private StreamedAnswer stream;

    public RequestSteps() throws IOException {}

    @When("a caller asks host {int} for the entry page")
    public void entry(int host) {
        answer = fleet.caller(host).get("/v1/entry");
    }

    @Then("the entry page names all three hosts for {int} ms")
    public void entryNamesAll(int millis) {
        assertEquals(200, answer.status(), answer.toString());
        List<String> named = new ArrayList<>();
        answer.json()
                .path("addresses")
                .forEach(each -> named.add(each.path("address").asText()));
        for (int host = 1; host <= TestFleet.HOSTS; host++) {
            assertTrue(named.contains(fleet.callers(host)), "host-" + host + " is missing: " + answer);
        }
        assertEquals(millis, answer.json().path("validForMillis").asInt());
    }

    @When("a caller sends a {word} to host {int}")
    public void call(String route, int host) {
        answer = fleet.caller(host).post("/v1/services/" + route, "{\"lot\":\"" + idempotencyKey + "\"}");
    }

    @When("a caller without a key sends a {word} to host {int}")
    public void callWithoutKey(String route, int host) {
        answer = new Caller(fleet.callers(host)).post("/v1/services/" + route, "{\"lot\":\"" + idempotencyKey + "\"}");
    }

    @When("a caller sends a booking with an idempotency key to host {int}")
    public void booking(int host) {
        answer = fleet.caller(host).idempotencyKey(idempotencyKey).post("/v1/services/booking", "{\"bins\":40}");
        answers.add(answer);
    }

    @Then("the plain service's answer arrives")
    public void serviceAnswer() {
        assertEquals(200, answer.status(), answer.toString());
        assertTrue(answer.json().has("run"), answer.toString());
    }

    @Then("the call ran once")
    public void callRanOnce() {
        long runs = fleet.services.stream()
                .flatMap(service -> service.allRuns().stream())
                .filter(run -> run.body().contains(idempotencyKey))
                .count();
        assertEquals(1, runs);
    }

    @Then("all answers are the same and the booking ran once")
    public void sameAnswers() {
        for (Answer each : answers) {
            assertEquals(200, each.status(), each.toString());
            assertEquals(answers.get(0).body(), each.body());
        }
        assertEquals(1, fleet.runsOf(idempotencyKey));
    }

    @When("a caller asks host {int} for a whole answer of {int} tokens")
    public void wholeAnswer(int host, int tokens) {
        prompt = "summarise lot " + idempotencyKey;
        answer = fleet.caller(host).post(CHAT, Caller.languageBody(prompt, tokens, false));
    }

    @Then("the whole answer holds its {int} tokens in order")
    public void wholeAnswerInOrder(int tokens) {
        assertEquals(200, answer.status(), answer.toString());
        JsonNode json = answer.json();
        assertEquals(
                String.join("", expected(tokens)),
                json.at("/choices/0/message/content").asText());
        assertEquals(tokens, json.at("/usage/completion_tokens").asInt());
    }

    @When("a caller streams an answer of {int} tokens from host {int}")
    public void streamAnswer(int tokens, int host) {
        prompt = "summarise contract " + idempotencyKey;
        stream = fleet.caller(host).stream(prompt, tokens);
    }

    @Then("the stream ends whole with its {int} tokens in order")
    public void streamInOrder(int tokens) {
        assertTrue(stream.awaitWhole(), "the stream was cut: " + stream.head() + " " + stream.tokens());
        assertEquals(expected(tokens), stream.tokens());
    }

    private List<String> expected(int tokens) {
        return IntStream.range(0, tokens)
                .mapToObj(index -> FakeDecodeEngine.tokenOf("user: " + prompt + "\n", index))
                .toList();
    }

    @When("a caller sends {string} to path {string} with key {string}")
    public void rawRequest(String body, String path, String key) {
        answer = new Caller(fleet.callers(1)).key(key).post(path, body);
    }

    @Then("the answer is the refusal {int} {word} with run {word}")
    public void refusal(int status, String code, String run) {
        assertEquals(status, answer.status(), answer.toString());
        assertEquals(code, answer.errorCode());
        assertEquals(run, answer.run());
        assertNotEquals("", answer.json().at("/error/requestId").asText());
    }

    @Given("the backend servers have received requests of each kind")
    public void receivedRequests() {
        for (int host = 1; host <= TestFleet.HOSTS; host++) {
            call("booking", host);
            call("lookup", host);
            wholeAnswer(host, 2);
        }
        assertTrue(fleet.services.stream().anyMatch(s -> s.received().total() > 0));
        assertTrue(fleet.engines().allMatch(e -> e.received().total() > 0));
    }

    @Then("no header or body that one of them received holds an API key")
    public void noKeyReceived() {
        for (Standin server : fleet.backendServers().toList()) {
            for (String key : List.of(Sheets.PRENSAS_KEY, Sheets.VASCONCELOS_KEY)) {
                assertFalse(server.received().everContained(key), "an API key reached " + server.address());
            }
        }
    }
}
