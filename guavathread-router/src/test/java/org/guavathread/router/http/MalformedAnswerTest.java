package org.guavathread.router.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers that are malformed by RFC 9112 and are taken for complete ones, and sound ones that are refused. */
class MalformedAnswerTest {

    private static final String BODY = "hello, world";
    private static final long TIMEOUT_MILLIS = 20_000;

    /** How the peer writes an answer. */
    private enum Pieces {
        WHOLE,
        TWO,
        BYTES;

        void write(OutputStream out, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            int length =
                    switch (this) {
                        case WHOLE -> bytes.length;
                        case TWO -> (bytes.length + 1) / 2;
                        case BYTES -> 1;
                    };
            for (int at = 0; at < bytes.length; at += length) {
                out.write(bytes, at, Math.min(length, bytes.length - at));
                out.flush();
                pause(this == TWO ? 10 : 0);
            }
        }

        private static void pause(long millis) throws IOException {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                throw new IOException("The test was interrupted.", e);
            }
        }
    }

    private HttpClient client;
    private final List<ScriptedPeer> peers = new ArrayList<>();

    @BeforeEach
    void open() throws IOException {
        client = HttpClient.start(HttpClientSettings.DEFAULTS, System::currentTimeMillis);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        for (ScriptedPeer peer : peers) {
            peer.close();
        }
    }

    private ScriptedPeer peer(ScriptedPeer.Script script) throws IOException {
        peers.add(new ScriptedPeer(script));
        return peers.get(peers.size() - 1);
    }

    private CompletableFuture<HttpResponse> send(ScriptedPeer peer, String path) {
        HttpRequest request = HttpRequest.get(path)
                .acceptCloseDelimitedResponse()
                .deadlineMillis(System.currentTimeMillis() + TIMEOUT_MILLIS)
                .build();
        return client.send(peer.address(), request);
    }

    /** Sends an answer in all kinds of pieces, with the connection left open and closed; it must fail at once in each. */
    private void assertNoAnswer(String malformed) throws Exception {
        for (Pieces pieces : Pieces.values()) {
            for (boolean isLeftOpen : new boolean[] {true, false}) {
                ScriptedPeer peer = peer((head, out, socket) -> {
                    if (head.contains("/sound")) {
                        return ScriptedPeer.ok(out, BODY);
                    }
                    pieces.write(out, malformed);
                    return isLeftOpen;
                });
                String shown = pieces + ", left open: " + isLeftOpen + ": " + malformed;
                long beganMillis = System.currentTimeMillis();
                ExecutionException failure = assertThrows(
                        ExecutionException.class, () -> send(peer, "/malformed").get(), shown);
                assertInstanceOf(ExchangeFailedException.class, failure.getCause(), shown);
                assertNotNull(failure.getCause().getCause(), "counts as a broken connection: " + shown);
                assertTrue(System.currentTimeMillis() - beganMillis < TIMEOUT_MILLIS / 2, "failed late: " + shown);
                Polling.until("the connection is closed", () -> peer.endedConnections() == 1);
                assertEquals(
                        BODY, send(peer, "/sound").get(20, TimeUnit.SECONDS).text());
            }
        }
    }

    private void assertAnswer(String sound, boolean endsWithConnection) throws Exception {
        for (Pieces pieces : Pieces.values()) {
            ScriptedPeer peer = peer((head, out, socket) -> {
                pieces.write(out, sound);
                return !endsWithConnection;
            });
            for (int i = 0; i < 2; i++) {
                HttpResponse answer = send(peer, "/" + i).get(20, TimeUnit.SECONDS);
                assertEquals(200, answer.status(), pieces + ": " + sound);
                assertEquals(BODY, answer.text(), pieces + ": " + sound);
                if (!endsWithConnection) {
                    Polling.until("connection is back in the pool", () -> client.idleConnections(peer.address()) == 1);
                }
            }
            assertEquals(endsWithConnection ? 2 : 1, peer.connections(), pieces + ": " + sound);
        }
    }

    private static String withLength(String lines) {
        return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    private static String chunked(String chunks) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    }

    private static String framedBy(String lines) {
        return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + BODY;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                " ", "\t", "\0", "\u0001", "\u000b", "\u001b", "\u007f", "\u0080", "\u00ff", "(", ")", "<", ">", "@",
                ",", ";", "\\", "\"", "/", "[", "]", "?", "=", "{", "}"
            })
    void nameOfAFieldIsAToken(String noTokenCharacter) throws Exception {
        for (String name : List.of(noTokenCharacter + "X-A", "X-" + noTokenCharacter + "A", "X-A" + noTokenCharacter)) {
            assertNoAnswer(withLength("X-First: 1\r\n" + name + ": 1\r\n"));
        }
        assertNoAnswer(framedBy("Content-Length" + noTokenCharacter + ": 12\r\n"));
        assertNoAnswer(framedBy("Content-" + noTokenCharacter + "Length: 12\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-A\r\n",
                ": 1\r\n",
                " X-A: 1\r\n",
                "\tX-A: 1\r\n",
                "X-A: 1\r\n folded\r\n",
                "X-A: 1\r\n\tfolded\r\n",
                "X-A: 1\n",
                "X-A: 1\rX-B: 2\r\n",
                "X-A: 1\r\r\n",
                "no field at all\r\n",
                "\rX-A: 1\r\n"
            })
    void lineOfAHeadIsAField(String line) throws Exception {
        assertNoAnswer(withLength(line));
        assertNoAnswer(withLength("X-First: 1\r\n" + line));
        assertNoAnswer(framedBy("Content-Length: 12\r\n" + line));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\0", "\u0001", "\u0008", "\n", "\u000b", "\r", "\u001b", "\u007f"})
    void valueOfAFieldAndReasonHoldNoControlByte(String control) throws Exception {
        for (String value : List.of(control, "a" + control, control + "a", "a" + control + "b")) {
            assertNoAnswer(withLength("X-A: " + value + "\r\n"));
            assertNoAnswer(withLength("").replace("OK", value));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/2 200 OK",
                "HTTP/1.10 200 OK",
                "http/1.1 200 OK",
                " HTTP/1.1 200 OK",
                "ICY 200 OK",
                "\0",
                "\r\nHTTP/1.1 200 OK",
                "HTTP/1.1 600 OK"
            })
    void firstLineIsAStatusLine(String line) throws Exception {
        assertNoAnswer(withLength("").replace("HTTP/1.1 200 OK", line));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 12\r\nContent-Length: 5\r\n",
                "Content-Length: 5\r\nContent-Length: 12\r\n",
                "Content-Length: 12\r\nX-A: 1\r\ncontent-length: 012345\r\n",
                "Content-Length: 5, 12\r\n",
                "Content-Length: 12,\r\n",
                "Content-Length: +12\r\n",
                "Content-Length: -12\r\n",
                "Content-Length: 12.0\r\n",
                "Content-Length: 0xc\r\n",
                "Content-Length: 1 2\r\n",
                "Content-Length: 12a\r\n",
                "Content-Length: \u00b9\u00b2\r\n",
                "Content-Length: \r\n",
                "Content-Length:\r\n",
                "Content-Length: 12\r\nContent-Length:\r\n",
                "Content-Length: 18446744073709551628\r\n",
                "Content-Length: 99999999999999999999999999999999\r\n",
                "Transfer-Encoding: \r\n",
                "Transfer-Encoding: gzip\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding: chunked, gzip\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: chunked, chunked\r\n",
                "Transfer-Encoding: chunked;q=1\r\n",
                "Transfer-Encoding: \"chunked\"\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: chunke\r\n",
                "Transfer-Encoding: ,chunked\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 22\r\n",
                "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 12\r\nTransfer-Encoding: gzip\r\n"
            })
    void lengthAndCodingTellOneEndOfTheBody(String lines) throws Exception {
        assertNoAnswer(framedBy(lines));
        assertNoAnswer(framedBy(lines).replace(BODY, "c\r\n" + BODY + "\r\n0\r\n\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\nhello, world"
            })
    void codingIsUnknownToHttp10(String answer) throws Exception {
        assertNoAnswer(answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                " c\r\n",
                "\tc\r\n",
                "c \r\n",
                "c\t\r\n",
                "\r\n",
                "0xc\r\n",
                "+c\r\n",
                "-c\r\n",
                "c.0\r\n",
                "g\r\n",
                "c\n",
                "c\r\r\n",
                "c,\r\n",
                "c a=b\r\n",
                "c;\r\n",
                "c;=b\r\n",
                "c;a=\r\n",
                "c;a=\"b\r\n",
                "c;a=\"b\"c\r\n",
                "c;a b\r\n",
                "c;a=b c\r\n",
                "c;a=\0\r\n",
                "c;a=\"\u0001\"\r\n",
                "c;(a)=b\r\n",
                "c;a=b;\r\n",
                "c\0\r\n",
                "\u00b9\u00b2\r\n",
                "00000000c\r\n",
                "fffffffffffffffc\r\n",
                "10000000000000000c\r\n",
                "b\r\n",
                "d\r\n",
                "8\r\n",
                "1c\r\n"
            })
    void chunkBeginsWithItsSize(String sizeLine) throws Exception {
        assertNoAnswer(chunked(sizeLine + BODY + "\r\n0\r\n\r\n").replace("0\r\n\r\n", "0\r\n\r\n" + "x".repeat(20)));
        assertNoAnswer(chunked("5\r\nfirst\r\n" + sizeLine + BODY + "\r\n0\r\n\r\n" + "x".repeat(20)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "c\r\nhello, worldmore\r\n0\r\n\r\n",
                "c\r\nhello, world\n0\r\n\r\n",
                "c\r\nhello, world0\r\n\r\n",
                "c\r\nhello, world\r\r\n0\r\n\r\n",
                "c\r\nhello, world\r\n0\r\nX-A\r\n\r\n",
                "c\r\nhello, world\r\n0\r\nX A: 1\r\n\r\n",
                "c\r\nhello, world\r\n0\r\n: 1\r\n\r\n",
                "c\r\nhello, world\r\n0\r\n X-A: 1\r\n\r\n",
                "c\r\nhello, world\r\n0\r\nX-A: \0\r\n\r\n",
                "c\r\nhello, world\r\n0\r\nX-A: 1\n\r\n",
                "c\r\nhello, world\r\n0\n\r\n",
                "c\r\nhello, world\r\n0\r\n\n",
                "c\r\nhello, world\r\n0 \r\n\r\n",
                "c\r\nhello, world\r\n-0\r\n\r\n"
            })
    void chunksEndWhereTheirSizesSay(String chunks) throws Exception {
        assertNoAnswer(chunked(chunks));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 12\r\n",
                "content-length:12\r\n",
                "CONTENT-LENGTH:\t12\t \r\n",
                "Content-Length: 012\r\n",
                "Content-Length: 0000000000000000000000000000012\r\n",
                "Content-Length: 12\r\nContent-Length: 12\r\n",
                "X-Empty:\r\nX-Blank: \t \r\nContent-Length: 12\r\n",
                "X-Latin: \u00e9\u00ff\u0080\r\nContent-Length: 12\r\n",
                "X-Tab: a\tb\r\nContent-Length: 12\r\n",
                "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 12\r\n",
                "X-Colons: a:b: \"c\"\r\nContent-Length: 12\r\n"
            })
    void soundAnswerWithALengthIsPassedOn(String lines) throws Exception {
        assertAnswer(framedBy(lines), false);
        for (String statusLine :
                List.of("HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200 \u00e9t\u00e9\tvu\r\n")) {
            assertAnswer(framedBy(lines).replace("HTTP/1.1 200 OK\r\n", statusLine), false);
        }
        assertAnswer(framedBy(lines).replace("HTTP/1.1", "HTTP/1.0"), true);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "c\r\nhello, world\r\n0\r\n\r\n",
                "C\r\nhello, world\r\n0\r\n\r\n",
                "0000000c\r\nhello, world\r\n00\r\n\r\n",
                "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
                "c;a=b\r\nhello, world\r\n0\r\n\r\n",
                "c;a\r\nhello, world\r\n0;end\r\n\r\n",
                "c ; a = b\t;c=\"d;\\\" \u00e9\"\r\nhello, world\r\n0\r\n\r\n",
                "c;a=\"\"\r\nhello, world\r\n0\r\n\r\n",
                "c\r\nhello, world\r\n0\r\nX-Trailer: 1\r\nX-More:\r\n\r\n"
            })
    void soundChunksArePassedOn(String chunks) throws Exception {
        for (String coding : List.of("chunked", "Chunked", "CHUNKED\t")) {
            assertAnswer(chunked(chunks).replace("chunked", coding), false);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 No Content\r\n",
                "204 No Content\r\nContent-Length: 0\r\n",
                "204 No Content\r\nTransfer-Encoding: chunked\r\n",
                "304 Not Modified\r\n",
                "304 Not Modified\r\nContent-Length: 12\r\n",
                "205 Reset Content\r\nContent-Length: 0\r\n"
            })
    void answerWhoseStatusHasNoBodyEndsWithItsHead(String head) throws Exception {
        ScriptedPeer peer = peer((request, out, socket) -> ScriptedPeer.text(out, "HTTP/1.1 " + head + "\r\n"));
        for (int i = 0; i < 2; i++) {
            HttpResponse answer = send(peer, "/" + i).get(20, TimeUnit.SECONDS);
            assertEquals(Integer.parseInt(head.substring(0, 3)), answer.status());
            assertEquals("", answer.text());
            Polling.until("connection is back in the pool", () -> client.idleConnections(peer.address()) == 1);
        }
        assertEquals(1, peer.connections());
    }

    @Test
    void answerWithoutALengthEndsWithItsConnection() throws Exception {
        assertAnswer(framedBy("X-A: 1\r\n"), true);
        assertAnswer(framedBy("Connection: close\r\n").replace("HTTP/1.1", "HTTP/1.0"), true);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: ",
                "x",
                "\r\n"
            })
    void bytesBehindAnAnswerBelongToNoRequest(String behind) throws Exception {
        for (String answer : List.of(withLength(""), chunked("c\r\n" + BODY + "\r\n0\r\n\r\n"))) {
            for (int pauseMillis : new int[] {0, 20}) {
                ScriptedPeer peer = peer((head, out, socket) -> {
                    if (pauseMillis == 0) {
                        return ScriptedPeer.text(out, answer + behind);
                    }
                    ScriptedPeer.text(out, answer);
                    Pieces.pause(pauseMillis);
                    return ScriptedPeer.text(out, behind);
                });
                for (int i = 1; i <= 5; i++) {
                    assertEquals(
                            BODY, send(peer, "/" + i).get(20, TimeUnit.SECONDS).text());
                    int ended = i;
                    Polling.until("the connection is closed", () -> peer.endedConnections() == ended);
                }
            }
        }
    }
}
