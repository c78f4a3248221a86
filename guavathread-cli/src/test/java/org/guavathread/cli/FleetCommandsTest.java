package org.guavathread.cli;

import java.io.IOException;
import java.net.ServerSocket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetCommandsTest {

    private final Cli cli = new Cli();
    private FakeAdmin curico;
    private FakeAdmin talca;

    @BeforeEach
    void start() throws IOException {
        curico = new FakeAdmin().page("/status", status("curico-1", 42, "talca-1", "alive"));
        talca = new FakeAdmin().page("/status", status("talca-1", 42, "curico-1", "alive"));
    }

    @AfterEach
    void stop() {
        curico.close();
        talca.close();
    }

    private static String status(String host, long version, String peer, String peerStatus) {
        return String.format(
                "{\"host\":\"%s\",\"sheetVersion\":%d,\"ready\":true,\"draining\":false,\"isolated\":false,"
                        + "\"leaseHeld\":true,\"epochSettled\":true,\"activeRequests\":3,\"queuedRequests\":1,"
                        + "\"peers\":[{\"host\":\"%s\",\"status\":\"%s\"}]}",
                host, version, peer, peerStatus);
    }

    private JsonNode json() throws IOException {
        return new ObjectMapper().readTree(cli.out());
    }

    /** Guards against a table instead of JSON when the output goes to a pipe. */
    @Test
    void printsJsonWithoutTerminal() throws IOException {
        assertEquals(0, cli.run("status", "--admin", curico.address(), "--admin", talca.address()));
        assertEquals("talca-1", json().at("/hosts/1/host").asText());
        assertEquals(curico.address(), json().at("/hosts/0/address").asText());
        assertTrue(json().path("sameSheetVersion").asBoolean());
        assertTrue(json().path("notAnswered").isEmpty());
    }

    /** Guards against a table that lacks a state of a host, or does not report that sheet versions differ. */
    @Test
    void printsTableOnTerminal() {
        talca.page("/status", status("talca-1", 41, "curico-1", "suspect"));
        assertEquals(0, cli.interactive().run("status", "--admin", curico.address() + "," + talca.address()));
        assertTrue(cli.out().startsWith("HOST "), cli.out());
        assertTrue(
                cli.out().matches("(?s).*curico-1 .* 42 .* yes .* no .* no .* held .* 1 alive +3 +1\n.*"), cli.out());
        assertTrue(cli.out().contains("1 suspect (curico-1)"), cli.out());
        assertTrue(cli.out().contains("Sheet versions differ: 41 on talca-1; 42 on curico-1"), cli.out());
    }

    /** Guards against an unreachable host that hides the state of the others or is not reported. */
    @Test
    void showsHostsThatDoNotAnswer() throws IOException {
        String closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = "127.0.0.1:" + socket.getLocalPort();
        }
        talca.unresponsive();
        String admins = String.join(",", curico.address(), talca.address(), closed);
        assertEquals(3, cli.run("status", "--admin", admins));
        assertEquals(1, json().path("hosts").size());
        assertEquals(talca.address(), json().at("/notAnswered/0/address").asText());
        assertEquals("no answer within 2 s", json().at("/notAnswered/0/reason").asText());
        assertTrue(json().at("/notAnswered/1/reason").asText().startsWith("no connection"), cli.out());
    }

    /** Guards against an HTTP error of a host that is shown as an empty answer. */
    @Test
    void countsFailedPageAsNoAnswer() throws IOException {
        assertEquals(3, cli.run("audit", "--admin", curico.address()));
        assertEquals(
                "answered with status 404", json().at("/notAnswered/0/reason").asText());
    }

    /** Guards against hosts of the sheet that are not queried. */
    @Test
    void asksHostsOfSheet() throws IOException {
        assertEquals(3, cli.run("status", "--sheet", Cli.sheet("valid.json")));
        assertEquals("127.0.0.1:8082", json().at("/notAnswered/0/address").asText());
        assertEquals("127.0.0.1:8092", json().at("/notAnswered/1/address").asText());
    }

    /** Guards against a documented environment variable that is not read. */
    @Test
    void takesAddressesFromEnvironment() throws IOException {
        assertEquals(0, cli.environment("GUAVATHREAD_ADMIN", talca.address()).run("status"));
        assertEquals("talca-1", json().at("/hosts/0/host").asText());
    }

    /** Guards against workspace totals that cover one host only, or are not sorted by admitted share. */
    @Test
    void sumsWorkspacesOverHostsWorstServedFirst() throws IOException {
        String row = "{\"workspace\":\"%s\",\"ratePerSecond\":100,\"burst\":400,\"admitted\":%d,\"admittedTokens\":%d,"
                + "\"refused\":%d,\"rateLimited\":%d}";
        curico.page(
                "/workspaces",
                "[" + String.format(row, "buyers", 10, 50, 0, 0) + "," + String.format(row, "gate", 9, 9, 1, 1) + "]");
        talca.page("/workspaces", "[" + String.format(row, "buyers", 10, 70, 20, 15) + "]");
        assertEquals(0, cli.run("workspaces", "--admin", curico.address(), "--admin", talca.address()));
        JsonNode worst = json().at("/workspaces/0");
        assertEquals("buyers", worst.path("workspace").asText());
        assertEquals(120, worst.path("admittedTokens").asInt());
        assertEquals(20, worst.path("refused").asInt());
        assertEquals(15, worst.path("rateLimited").asInt());
        assertEquals(0.5, worst.path("admittedShare").asDouble());
        assertEquals(100, worst.path("ratePerSecond").asInt());
    }

    /** Guards against an engine without a load report that is shown with a load of -1. */
    @Test
    void showsEnginesWithoutReport() {
        curico.page(
                "/backends",
                "[{\"id\":\"d1\",\"kind\":\"decode\",\"state\":\"active\",\"reservedPieces\":2,\"usedPieces\":-1,"
                        + "\"memoryPieces\":20,\"queueTokens\":-1}]");
        assertEquals(0, cli.interactive().run("backends", "--admin", curico.address()));
        assertTrue(cli.out().matches("(?s).*d1 +decode +active +2 +- +20 +- +" + curico.address() + ".*"), cli.out());
    }

    /** Guards against a refused sheet that is not shown to the operator. */
    @Test
    void showsRefusedSheet() {
        curico.page(
                "/audit",
                "{\"version\":42,\"digest\":\"d\",\"acceptedAtMillis\":1,\"refused\":{\"version\":43,\"source\":"
                        + "\"service\",\"faults\":[\"/hosts: No host is active.\"]},\"changes\":[{\"version\":42,"
                        + "\"previous\":41,\"changes\":[\"route chat added\"]}]}");
        assertEquals(0, cli.interactive().run("audit", "--admin", curico.address()));
        assertTrue(cli.out().contains("refused version 43 from service"), cli.out());
        assertTrue(cli.out().contains("/hosts: No host is active."), cli.out());
        assertTrue(cli.out().contains("route chat added"), cli.out());
    }

    /** Guards against a request id that is not URL-encoded, and against output for hosts that do not know it. */
    @Test
    void explainsRequest() throws IOException {
        curico.page("/explain", "{\"request\":\"a b&c\",\"steps\":[{\"atMillis\":1,\"text\":\"arrived\"}]}");
        talca.page("/explain", "{\"request\":\"a b&c\",\"steps\":[]}");
        assertEquals(
                0, cli.run("explain", "--request", "a b&c", "--admin", curico.address(), "--admin", talca.address()));
        assertEquals("/explain?request=a+b%26c", curico.requestedUris().get(0));
        assertEquals(1, json().path("hosts").size());
        assertEquals("arrived", json().at("/hosts/0/answer/steps/0/text").asText());
    }

    /** Guards against an exit code of success for an unknown name. */
    @Test
    void exitsWithNegativeCodeForUnknownName() {
        curico.page("/explain", "{\"error\":\"The sheet in force lists no route \\\"x\\\".\"}");
        assertEquals(1, cli.interactive().run("explain", "--route", "x", "--admin", curico.address()));
        assertTrue(cli.out().contains("lists no route \"x\""), cli.out());
        assertFalse(cli.out().contains("null"), cli.out());
    }
}
