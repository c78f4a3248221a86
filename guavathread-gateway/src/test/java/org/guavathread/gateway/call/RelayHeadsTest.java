package org.guavathread.gateway.call;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.Clocks;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpClientSettings;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a change of the headers with which hosts of the builds since 96b7d09 relay requests to servers. */
class RelayHeadsTest {

    private static final int TIMEOUT_MILLIS = 5_000;

    private static final Worker SERVER = new Worker(
            new BackendServerId("i-1"),
            new ServiceName("llm"),
            new SocketAddressText("10.1.0.36", 7_740),
            new DataCentreId("curico"),
            64,
            false,
            EngineStage.DECODE,
            new SoftwareVersion("v1"),
            5);

    @Test
    void requestToRelay() throws Exception {
        HttpRequest request = HttpRequest.post("/run/1")
                .header("X-Attempt-Id", "a1")
                .nonRepeatable()
                .body(new byte[] {'h', 'i'})
                .build();
        assertEquals("""
                POST /run/1 HTTP/1.1\r
                Guavathread-Relay-Server: i-1\r
                Guavathread-Relay-Timeout-Ms: 60000\r
                X-Attempt-Id: a1\r
                Host: 10.1.0.36:7740\r
                Content-Length: 2\r
                \r
                """, headOf(RelayProtocol.relayed(request, SERVER, 90_000)));
    }

    /** Returns the head of a request as a host receives it. */
    private static String headOf(HttpRequest request) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = HttpClient.start(HttpClientSettings.DEFAULTS, Clocks.monotonic())) {
            listener.setSoTimeout(TIMEOUT_MILLIS);
            client.send(new SocketAddressText("127.0.0.1", listener.getLocalPort()), request);
            try (Socket socket = listener.accept()) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                InputStream in = socket.getInputStream();
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append(new String(in.readNBytes(1), StandardCharsets.ISO_8859_1));
                }
                return head.toString();
            }
        }
    }

    @Test
    void serverOfARequest() {
        assertEquals(
                Optional.of(new BackendServerId("i-1")),
                RelayProtocol.serverOf(Map.of("Guavathread-Relay-Server", "i-1")));
    }

    @Test
    void answerOfAServer() {
        HttpHead head = new HttpHead(200, Map.of("X-Response-Seal", List.of("s")));
        assertEquals(
                Map.of("X-Response-Seal", "s", "Guavathread-Relay-Close-Delimited", "1"),
                RelayProtocol.headersOfAnswer(head));
        HttpHead relayed = new HttpHead(
                200,
                Map.of(
                        "X-Response-Seal",
                        List.of("s"),
                        "Guavathread-Relay-Close-Delimited",
                        List.of("1"),
                        "Transfer-Encoding",
                        List.of("chunked")));
        assertEquals(
                Map.of("X-Response-Seal", List.of("s")),
                RelayProtocol.headOfServer(relayed).headers());
    }

    @Test
    void failures() {
        assertEquals(
                List.of("UNAVAILABLE", "NOT_CONNECTED", "NOT_SENT", "CONNECTION_LOST", "UNKNOWN"),
                Arrays.stream(RelayProtocol.Failure.values()).map(Enum::name).toList());
        HttpHead failed = new HttpHead(502, Map.of("Guavathread-Relay-Failure", List.of("NOT_SENT")));
        assertEquals(Optional.of(RelayProtocol.Failure.NOT_SENT), RelayProtocol.failureIn(failed));
        HttpHead later = new HttpHead(502, Map.of("Guavathread-Relay-Failure", List.of("A_LATER_ONE")));
        assertEquals(Optional.of(RelayProtocol.Failure.UNKNOWN), RelayProtocol.failureIn(later));
    }
}
