package org.guavathread.router.caller;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against bodies that are changed, lost or never answered because of how their bytes arrive. */
class UploadsInPiecesTest {

    private static final int CALLERS = 24;
    private static final int REQUESTS = 250;
    private static final int BODY_BYTES = 6_000;
    private static final int MAX_PAUSE_NANOS = 60_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 8_000;
    private static final CallerBounds BOUNDS = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

    private final ExecutorService handlers = Executors.newFixedThreadPool(4);
    private CallerServer server;
    private SocketAddressText address;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new SocketAddressText("127.0.0.1", free.getLocalPort());
        }
        server = new CallerServer(
                        address,
                        new RequestIds(new HostId("h1"), new Incarnation(1)),
                        System::currentTimeMillis,
                        new PauseDetector(System::currentTimeMillis),
                        exchange -> handlers.execute(() -> echo(exchange)))
                .bounds(() -> BOUNDS);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        handlers.shutdownNow();
    }

    private static void echo(CallerExchange exchange) {
        byte[] target = (exchange.path() + exchange.query()).getBytes(StandardCharsets.ISO_8859_1);
        byte[] content = new byte[target.length + exchange.body().length];
        System.arraycopy(target, 0, content, 0, target.length);
        System.arraycopy(exchange.body(), 0, content, target.length, exchange.body().length);
        exchange.answer(200, Map.of("Content-Type", "text/plain"), content);
    }

    private static String body(Random random, int bytes) {
        StringBuilder body = new StringBuilder(bytes);
        for (int i = 0; i < bytes; i++) {
            body.append((char) ('a' + random.nextInt(26)));
        }
        return body.toString();
    }

    private static String request(String path, String body, int chunkBytes) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: a\r\n";
        if (chunkBytes == 0) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        StringBuilder chunked = new StringBuilder(head + "Transfer-Encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length(); at += chunkBytes) {
            String chunk = body.substring(at, Math.min(body.length(), at + chunkBytes));
            chunked.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return chunked.append("0\r\n\r\n").toString();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.ip(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads one answer with a length; returns its body. */
    private static String readAnswer(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("The connection ended in an answer: " + head);
            }
            head.append((char) next);
        }
        assertTrue(head.toString().startsWith("HTTP/1.1 200"), head.toString());
        String length = head.toString().replaceAll("(?is).*content-length: *([0-9]+).*", "$1");
        return new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 500})
    void bodiesInPiecesArriveUnchangedAndAreAnswered(int chunkBytes) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<Future<Void>> results = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Callable<Void> task = () -> upload(number, chunkBytes);
            results.add(callers.submit(task));
        }
        for (Future<Void> result : results) {
            result.get();
        }
        callers.shutdown();
    }

    private Void upload(int caller, int chunkBytes) throws IOException {
        Random random = new Random(caller);
        try (Socket socket = connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                String path = "/upload/" + caller + "/" + i;
                String body = body(random, BODY_BYTES);
                String request = request(path, body, chunkBytes);
                for (int at = 0; at < request.length(); at += 300) {
                    send(socket.getOutputStream(), request.substring(at, Math.min(request.length(), at + 300)));
                    LockSupport.parkNanos(ThreadLocalRandom.current().nextInt(MAX_PAUSE_NANOS));
                }
                assertEquals(path + body, readAnswer(socket.getInputStream()));
            }
        }
        return null;
    }

    @ParameterizedTest
    @ValueSource(ints = {60, 1_000, 5_000})
    void bodyOfManyChunksThatArriveAtOnceIsAnswered(int chunks) throws Exception {
        String body = body(new Random(chunks), 20 * chunks);
        try (Socket socket = connect()) {
            for (int i = 0; i < 3; i++) {
                send(socket.getOutputStream(), request("/many/" + i, body, 20));
                assertEquals("/many/" + i + body, readAnswer(socket.getInputStream()));
            }
        }
    }

    @Test
    void manyPipelinedRequestsAreAnsweredInOrder() throws Exception {
        StringBuilder requests = new StringBuilder();
        int count = 3_000;
        for (int i = 0; i < count; i++) {
            requests.append(request("/next/" + i, "body-" + i, i % 2 * 3));
        }
        try (Socket socket = connect()) {
            Thread sender = new Thread(() -> sendUnchecked(socket, requests.toString()));
            sender.start();
            for (int i = 0; i < count; i++) {
                assertEquals("/next/" + i + "body-" + i, readAnswer(socket.getInputStream()));
            }
            sender.join();
        }
    }

    private static void sendUnchecked(Socket socket, String text) {
        try {
            send(socket.getOutputStream(), text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void callerThatAwaitsAWordBeforeItsBodyGetsIt() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket.getOutputStream(),
                    "POST /expect HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
            String interim = "HTTP/1.1 100 Continue\r\n\r\n";
            assertEquals(
                    interim,
                    new String(socket.getInputStream().readNBytes(interim.length()), StandardCharsets.ISO_8859_1));
            send(socket.getOutputStream(), "hello");
            assertEquals("/expecthello", readAnswer(socket.getInputStream()));
        }
    }

    /** What Grizzly takes for a session id is a part of the path. */
    @ParameterizedTest
    @ValueSource(strings = {"/a;jsessionid=7c1/load/1", "/a;v=1/b?x=;jsessionid=2", "/a%2fb/%7e", "/a//b/../c"})
    void targetIsPassedOnUnchanged(String target) throws Exception {
        try (Socket socket = connect()) {
            send(socket.getOutputStream(), request(target, "x", 0));
            assertEquals(target + "x", readAnswer(socket.getInputStream()));
        }
    }

    /** The codec refuses such targets itself, without the handler. */
    @ParameterizedTest
    @ValueSource(strings = {"/a%zz", "/a%", "/%c0%80", "*", "/a%00b", "/..", "/../../x"})
    void connectionIsOfUseAfterATargetThatTheCodecMayRefuse(String target) throws Exception {
        try (Socket socket = connect()) {
            send(socket.getOutputStream(), "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
            send(socket.getOutputStream(), "GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answers.startsWith("HTTP/1.1 400") || answers.endsWith("/next"), answers);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"abc", "", "1e3", "+5", "-1", "5, 5", "99999999999999999999"})
    void contentLengthThatIsNoNumberIsRefused(String length) throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket.getOutputStream(),
                    "POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\nhello");
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 400") && answer.contains("\"not_run\""), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x\r\nhello\r\n0\r\n\r\n",
                "5\r\nhelloX\r\n0\r\n\r\n",
                "5\nhello\r\n0\r\n\r\n",
                "-5\r\nhello\r\n0\r\n\r\n",
                "0000000005\r\nhello\r\n0\r\n\r\n",
                "\r\n"
            })
    void bodyWhoseChunksAreMalformedIsRefusedAndItsConnectionClosed(String chunks) throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket.getOutputStream(),
                    "POST /bad HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 400") && answer.contains("\"not_run\""), answer);
        }
    }
}
