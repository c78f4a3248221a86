package org.guavathread.router.http;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the limits of the client and its reports on whether a request may have run. */
class HttpClientTest {

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    // Long enough for everything expected before the inactivity to arrive on a loaded machine.
    private static final long INACTIVITY_TIMEOUT_MILLIS = 2_000;

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void refusedConnectionMeansNotSent() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        HttpExchangeException failure = failureOf(client.send(
                new SocketAddressText("127.0.0.1", port), HttpRequest.get("/").build()));
        assertInstanceOf(RequestNotSentException.class, failure);
        assertEquals(HttpStep.CONNECT, failure.step());
        assertEquals(port, failure.peer().port());
    }

    @Test
    void connectionThatDoesNotOpenMeansNotSent() throws Exception {
        // While the backlog is full and nothing is accepted, the operating system drops further connection attempts.
        try (ServerSocket full = new ServerSocket(0, 1)) {
            SocketAddressText peer = new SocketAddressText("127.0.0.1", full.getLocalPort());
            HttpClient client = client(HttpClientSettings.DEFAULTS.withConnectTimeoutMillis(300));
            List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                HttpRequest request = HttpRequest.get("/")
                        .deadlineMillis(System.currentTimeMillis() + 5_000)
                        .build();
                responses.add(client.send(peer, request));
            }
            long notOpened = 0;
            for (CompletableFuture<HttpResponse> response : responses) {
                HttpExchangeException failure = failureOf(response);
                notOpened += failure instanceof RequestNotSentException && failure.step() == HttpStep.CONNECT ? 1 : 0;
            }
            assertTrue(notOpened > 0, "no attempt to connect timed out");
            Polling.until("slots are free", () -> client.connections(peer) == 0);
        }
    }

    @Test
    void connectionClosedAfterTheRequestMeansItMayHaveRun() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> false);
        HttpExchangeException failure = failureOf(client(HttpClientSettings.DEFAULTS)
                .send(peer.address(), HttpRequest.post("/book").nonRepeatable().build()));
        assertInstanceOf(ExchangeFailedException.class, failure);
        assertEquals(1, peer.received("/book"));
    }

    @Test
    void connectionIsReused() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.ok(out, "hello"));
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    "hello",
                    send(client, peer, "/" + i).get(20, TimeUnit.SECONDS).text());
            Polling.until("connection is back in the pool", () -> client.idleConnections(peer.address()) == 1);
        }
        assertEquals(1, peer.connections());
    }

    @Test
    void pooledConnectionThatThePeerClosedIsNotUsed() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.ok(out, "x") && head.contains("/kept"));
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        send(client, peer, "/first").get(20, TimeUnit.SECONDS);
        Polling.until("peer closed", () -> peer.endedConnections() == 1);
        HttpRequest next = HttpRequest.post("/kept").nonRepeatable().build();
        assertEquals(
                200, client.send(peer.address(), next).get(20, TimeUnit.SECONDS).status());
        assertEquals(2, peer.connections());
    }

    @Test
    void nonRepeatableRequestAvoidsAConnectionThatWasUnusedForLong() throws Exception {
        AtomicLong now = new AtomicLong(1_000);
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.ok(out, "x"));
        HttpClient client = client(HttpClientSettings.DEFAULTS, now);
        send(client, peer, "/first").get(20, TimeUnit.SECONDS);
        Polling.until("connection is back in the pool", () -> client.idleConnections(peer.address()) == 1);
        now.addAndGet(HttpClientSettings.DEFAULTS.nonRepeatableIdleMillis());
        HttpRequest next = HttpRequest.post("/book").nonRepeatable().build();
        client.send(peer.address(), next).get(20, TimeUnit.SECONDS);
        assertEquals(2, peer.connections());
    }

    @Test
    void requestIsSentAgainIfItsConnectionWasResetBeforeTheFirstByte() throws Exception {
        // The client reads the clock before it checks the pooled connection, and between the check and the write.
        for (int clockRead = 1; clockRead <= 4; clockRead++) {
            checkRequestAfterBreakAt(clockRead, ScriptedPeer::resetConnections);
        }
    }

    @Test
    void connectionThatThePeerClosesDuringTheAcquisitionIsNotUsed() throws Exception {
        // Only the first two reads of the clock precede the check of the pooled connection.
        for (int i = 0; i < 20; i++) {
            checkRequestAfterBreakAt(1 + i % 2, ScriptedPeer::closeConnections);
        }
    }

    /** Breaks the pooled connection at the given read of the clock after a non-repeatable request was submitted. */
    private void checkRequestAfterBreakAt(int clockRead, Consumer<ScriptedPeer> breakConnections) throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.ok(out, "x"));
        AtomicLong readsUntilBreak = new AtomicLong(Long.MAX_VALUE);
        HttpClient client = HttpClient.start(HttpClientSettings.DEFAULTS, () -> {
            if (readsUntilBreak.decrementAndGet() == 0) {
                breakConnections.accept(peer);
            }
            return 1_000;
        });
        open.add(client);
        send(client, peer, "/first").get(20, TimeUnit.SECONDS);
        Polling.until("connection is back in the pool", () -> client.idleConnections(peer.address()) == 1);
        readsUntilBreak.set(clockRead);
        HttpRequest next = HttpRequest.post("/book").nonRepeatable().build();
        assertEquals(
                200, client.send(peer.address(), next).get(20, TimeUnit.SECONDS).status());
        assertEquals(1, peer.received("/book"));
        assertEquals(2, peer.connections());
    }

    @Test
    void requestThatWasPartlyWrittenMayHaveRun() throws Exception {
        ScriptedPeer stalling = peer((head, out, socket) -> {
            await(new CountDownLatch(1));
            return false;
        });
        ScriptedPeer closing = peer((head, out, socket) -> false);
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        for (ScriptedPeer peer : List.of(stalling, closing)) {
            HttpRequest large = HttpRequest.post("/large")
                    .body(new byte[64 * 1024 * 1024])
                    .inactivityTimeoutMillis(INACTIVITY_TIMEOUT_MILLIS)
                    .nonRepeatable()
                    .build();
            HttpExchangeException failure = failureOf(client.send(peer.address(), large));
            assertInstanceOf(ExchangeFailedException.class, failure);
            assertEquals(HttpStep.SEND, failure.step());
            assertEquals(1, peer.received("/large"));
        }
    }

    @Test
    void inactiveStreamFailsAndItsConnectionIsClosed() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.text(out, CHUNKED + "5\r\nhello\r\n"));
        RecordingListener listener = new RecordingListener();
        client(HttpClientSettings.DEFAULTS).stream(
                peer.address(),
                HttpRequest.get("/s")
                        .inactivityTimeoutMillis(INACTIVITY_TIMEOUT_MILLIS)
                        .build(),
                listener);
        ExchangeFailedException failure = assertInstanceOf(ExchangeFailedException.class, failureOf(listener.end));
        assertEquals(HttpStep.ANSWER_BODY, failure.step());
        assertEquals(List.of("head 200", "hello", "failure"), listener.events);
        Polling.until("client closed the connection", () -> peer.endedConnections() == 1);
    }

    @Test
    void peerThatNeverRespondsReachesTheInactivityTimeout() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> true);
        HttpRequest request = HttpRequest.get("/s")
                .inactivityTimeoutMillis(INACTIVITY_TIMEOUT_MILLIS)
                .build();
        HttpExchangeException failure =
                failureOf(client(HttpClientSettings.DEFAULTS).send(peer.address(), request));
        assertInstanceOf(ExchangeFailedException.class, failure);
        assertEquals(HttpStep.ANSWER_HEAD, failure.step());
    }

    @Test
    void deadlineEndsAnExchangeAndAPastDeadlineIsNotSent() throws Exception {
        AtomicLong now = new AtomicLong(1_000);
        ScriptedPeer peer = peer((head, out, socket) -> true);
        HttpClient client = client(HttpClientSettings.DEFAULTS, now);
        CompletableFuture<HttpResponse> late = client.send(
                peer.address(), HttpRequest.get("/late").deadlineMillis(1_500).build());
        Polling.until("request arrived", () -> peer.received("/late") == 1);
        now.set(1_500);
        assertInstanceOf(ExchangeFailedException.class, failureOf(late));
        HttpRequest past = HttpRequest.get("/past").deadlineMillis(1_500).build();
        assertInstanceOf(RequestNotSentException.class, failureOf(client.send(peer.address(), past)));
        assertEquals(0, peer.received("/past"));
    }

    @Test
    void requestIsNotSentAfterItsSendDeadline() throws Exception {
        AtomicLong now = new AtomicLong(1_000);
        CountDownLatch proceed = new CountDownLatch(1);
        ScriptedPeer peer = peer((head, out, socket) -> {
            await(proceed);
            return ScriptedPeer.ok(out, "x");
        });
        HttpClient client = client(HttpClientSettings.DEFAULTS.withPool(1, 10), now);
        CompletableFuture<HttpResponse> first = send(client, peer, "/first");
        CompletableFuture<HttpResponse> second = client.send(
                peer.address(),
                HttpRequest.post("/book").sendDeadlineMillis(3_000).build());
        now.set(3_000);
        proceed.countDown();
        first.get(20, TimeUnit.SECONDS);
        assertInstanceOf(RequestNotSentException.class, failureOf(second));
        assertEquals(0, peer.received("/book"));
    }

    @Test
    void poolAndItsQueueAreBounded() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        ScriptedPeer peer = peer((head, out, socket) -> {
            await(proceed);
            return ScriptedPeer.ok(out, "x");
        });
        HttpClient client = client(HttpClientSettings.DEFAULTS.withPool(2, 4));
        List<CompletableFuture<HttpResponse>> accepted = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            accepted.add(send(client, peer, "/" + i));
        }
        HttpExchangeException failure = failureOf(send(client, peer, "/excess"));
        assertInstanceOf(RequestNotSentException.class, failure);
        assertEquals(HttpStep.POOL, failure.step());
        proceed.countDown();
        CompletableFuture.allOf(accepted.toArray(CompletableFuture[]::new)).get(20, TimeUnit.SECONDS);
        assertTrue(peer.connections() <= 2, "connections: " + peer.connections());
        assertEquals(0, peer.received("/excess"));
    }

    @Test
    void oversizedResponsesFail() throws Exception {
        String chunk = "5\r\nhello\r\n".repeat(10);
        ScriptedPeer peer = peer((head, out, socket) -> head.contains("/declared")
                ? ScriptedPeer.ok(out, "hello".repeat(10))
                : ScriptedPeer.text(out, CHUNKED + chunk + "0\r\n\r\n"));
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        for (String path : List.of("/declared", "/chunked")) {
            HttpRequest request = HttpRequest.get(path).maxResponseBytes(49).build();
            HttpExchangeException failure = failureOf(client.send(peer.address(), request));
            assertTrue(failure.getMessage().contains("longer than 49 bytes"), failure.getMessage());
        }
        HttpRequest exact = HttpRequest.get("/chunked").maxResponseBytes(50).build();
        assertEquals(
                50, client.send(peer.address(), exact).get(20, TimeUnit.SECONDS).body().length);
        ScriptedPeer headers = peer((head, out, socket) -> ScriptedPeer.text(
                out, "HTTP/1.1 200 OK\r\nX: " + "x".repeat(20_000) + "\r\nContent-Length: 0\r\n\r\n"));
        assertInstanceOf(ExchangeFailedException.class, failureOf(send(client, headers, "/")));
    }

    @Test
    void truncatedAndUnframedResponsesAreNeverReportedAsComplete() throws Exception {
        List<String> responses = List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
                CHUNKED + "5\r\nhello\r\n",
                "HTTP/1.1 200 OK\r\n\r\nhello",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "nonsense\r\n\r\n");
        for (String response : responses) {
            ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.text(out, response) && false);
            HttpClient client = client(HttpClientSettings.DEFAULTS);
            assertInstanceOf(ExchangeFailedException.class, failureOf(send(client, peer, "/")), response);
        }
    }

    @Test
    void closeDelimitedBodyIsCompleteOnlyAfterAnOrderlyClose() throws Exception {
        String unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";
        ScriptedPeer orderly = peer((head, out, socket) -> ScriptedPeer.text(out, unframed) && false);
        ScriptedPeer resetting = peer((head, out, socket) -> {
            ScriptedPeer.text(out, unframed);
            sleep(50);
            socket.setSoLinger(true, 0);
            return false;
        });
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        HttpRequest request =
                HttpRequest.get("/").acceptCloseDelimitedResponse().build();
        assertEquals(
                "hello",
                client.send(orderly.address(), request)
                        .get(20, TimeUnit.SECONDS)
                        .text());
        assertInstanceOf(ExchangeFailedException.class, failureOf(client.send(resetting.address(), request)));
    }

    @Test
    void earlyCloseDelimitedAnswerThatIsResetIsNeverWhole() throws Exception {
        ScriptedPeer resetting = peer((head, out, socket) -> {
            ScriptedPeer.text(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n0123456789abcdef");
            sleep(ThreadLocalRandom.current().nextInt(60));
            socket.setSoLinger(true, 0);
            return false;
        });
        ScriptedPeer closing = peer((head, out, socket) ->
                ScriptedPeer.text(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n0123456789abcdef") && false);
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        for (int i = 0; i < 60; i++) {
            for (ScriptedPeer peer : List.of(resetting, closing)) {
                HttpRequest request = HttpRequest.post("/")
                        .body(new byte[3_000_000])
                        .acceptCloseDelimitedResponse()
                        .build();
                assertInstanceOf(ExchangeFailedException.class, failureOf(client.send(peer.address(), request)));
            }
        }
    }

    @Test
    void earlyDelimitedAnswerIsWholeAndTheRestOfTheRequestIsNotSent() throws Exception {
        AtomicLong read = new AtomicLong();
        ScriptedPeer refusing = peer((head, out, socket) -> {
            ScriptedPeer.text(out, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
            sleep(200);
            for (int n = 0; n >= 0; n = socket.getInputStream().read(new byte[65_536])) {
                read.addAndGet(n);
            }
            return false;
        });
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        HttpRequest request = HttpRequest.post("/").body(new byte[30_000_000]).build();
        HttpResponse response = client.send(refusing.address(), request).get(20, TimeUnit.SECONDS);
        assertEquals(503, response.status());
        assertEquals("busy", response.text());
        Polling.until("the client closed the connection", () -> refusing.endedConnections() == 1);
        assertTrue(read.get() < 30_000_000, read + " bytes were sent");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "099", "1000", "0200", "20", "2", "20x", "abc", "+200", "-200", "+20", "2 00", "", "600", "999",
                "100"
            })
    void statusLineWithoutAStatusIsNoAnswer(String status) throws Exception {
        for (String end : List.of(" OK\r\n", "\r\n")) {
            ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.text(
                            out, "HTTP/1.1 " + status + end + "Content-Length: 2\r\nConnection: close\r\n\r\nok")
                    && false);
            HttpClient client = client(HttpClientSettings.DEFAULTS);
            assertInstanceOf(ExchangeFailedException.class, failureOf(send(client, peer, "/")), status + end);
        }
    }

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException("The test was interrupted.", e);
        }
    }

    @Test
    void streamArrivesInOrderAndCancelClosesTheConnection() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> {
            ScriptedPeer.text(out, CHUNKED);
            for (int i = 0; i < 5; i++) {
                ScriptedPeer.text(out, "2\r\n" + i + ";\r\n");
            }
            return head.contains("/whole") ? ScriptedPeer.text(out, "0\r\n\r\n") : true;
        });
        HttpClient client = client(HttpClientSettings.DEFAULTS);
        RecordingListener whole = new RecordingListener();
        client.stream(peer.address(), HttpRequest.get("/whole").build(), whole);
        whole.end.get(20, TimeUnit.SECONDS);
        assertEquals("head 2000;1;2;3;4;done", String.join("", whole.events));
        RecordingListener cut = new RecordingListener();
        HttpCall call = client.stream(peer.address(), HttpRequest.get("/cut").build(), cut);
        Polling.until("first tokens", () -> cut.events.size() > 1);
        call.cancel();
        assertInstanceOf(ExchangeFailedException.class, failureOf(cut.end));
        Polling.until("client closed the connection", () -> peer.endedConnections() == 1);
        assertEquals("failure", cut.events.get(cut.events.size() - 1));
    }

    @Test
    void unusedConnectionIsClosedAfterTheIdleLimit() throws Exception {
        ScriptedPeer peer = peer((head, out, socket) -> ScriptedPeer.ok(out, "x"));
        HttpClient client = client(HttpClientSettings.DEFAULTS.withIdleMillis(50, 50));
        send(client, peer, "/").get(20, TimeUnit.SECONDS);
        Polling.until("client closed the connection", () -> peer.endedConnections() == 1);
        assertEquals(0, client.connections(peer.address()));
    }

    @Test
    void requestsThatCouldBreakTheMessageAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> HttpRequest.get("/a b"));
        assertThrows(IllegalArgumentException.class, () -> HttpRequest.get("/").header("X", "a\r\nY: b"));
        assertThrows(IllegalArgumentException.class, () -> HttpRequest.get("/").header("X", "a\u010aY: b"));
        assertThrows(IllegalArgumentException.class, () -> HttpRequest.get("/").header("Content-Length", "3"));
    }

    private ScriptedPeer peer(ScriptedPeer.Script script) throws IOException {
        ScriptedPeer peer = new ScriptedPeer(script);
        open.add(peer);
        return peer;
    }

    private HttpClient client(HttpClientSettings settings) throws IOException {
        HttpClient client = HttpClient.start(settings, System::currentTimeMillis);
        open.add(client);
        return client;
    }

    private HttpClient client(HttpClientSettings settings, AtomicLong now) throws IOException {
        HttpClient client = HttpClient.start(settings, now::get);
        open.add(client);
        return client;
    }

    private static CompletableFuture<HttpResponse> send(HttpClient client, ScriptedPeer peer, String path) {
        return client.send(peer.address(), HttpRequest.get(path).build());
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static HttpExchangeException failureOf(CompletableFuture<?> future) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> future.get(20, TimeUnit.SECONDS));
        return assertInstanceOf(HttpExchangeException.class, failure.getCause());
    }
}
