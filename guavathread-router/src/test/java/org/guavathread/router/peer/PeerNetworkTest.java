package org.guavathread.router.peer;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.Hello;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against replies that reach the wrong request, hanging connections, and connections from unlisted hosts. */
class PeerNetworkTest {

    /** A request that the other host sends back as its reply. */
    public record Echo(String text) implements PeerMessage {}

    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final HostId STRANGER = new HostId("stranger");
    private static final int REQUEST_COUNT = 200;

    private final FrameCodec codec =
            new FrameCodec(new MessageRegistry().register(1, Hello.class).register(2, Echo.class));
    private Map<HostId, SocketAddressText> addresses;
    private PeerNetwork a;
    private PeerNetwork b;
    private volatile boolean answering = true;

    private final PeerDirectory directory = new PeerDirectory() {
        @Override
        public Optional<SocketAddressText> addressOf(HostId host) {
            return Optional.ofNullable(addresses.get(host));
        }

        @Override
        public boolean accepts(HostId host, String ip) {
            return addresses.containsKey(host) && !host.equals(STRANGER);
        }
    };

    @BeforeEach
    void startTwoHosts() throws Exception {
        addresses = Map.of(A, freeAddress(), B, freeAddress(), STRANGER, freeAddress());
        a = network(A);
        b = network(B);
        a.start();
        b.start();
    }

    @AfterEach
    void stopHosts() {
        a.stop();
        b.stop();
    }

    @Test
    void eachReplyReachesItsRequest() {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            String text = "question " + i;
            assertEquals(
                    new Echo(text),
                    a.ask(B, new Echo(text), millisFromNow(5_000)).join());
        }
    }

    @Test
    void unansweredRequestFailsAtItsDeadline() {
        answering = false;
        CompletionException failure = assertThrows(
                CompletionException.class,
                () -> a.ask(B, new Echo("x"), millisFromNow(200)).join());
        assertTrue(String.valueOf(failure.getCause()).contains("deadline"), "got " + failure.getCause());
    }

    @Test
    void unresponsiveConnectionIsReplaced() {
        answering = false;
        assertThrows(
                CompletionException.class,
                () -> a.ask(B, new Echo("lost"), millisFromNow(10_000)).join());
        answering = true;
        assertEquals(
                new Echo("again"),
                a.ask(B, new Echo("again"), millisFromNow(5_000)).join());
    }

    /** Guards against a request that is sent on an unresponsive connection while it is being closed. */
    @Test
    void requestSentWhileAnUnresponsiveConnectionFailsUsesANewOne() {
        answering = false;
        PeerMessage answer = a.ask(B, new Echo("lost"), millisFromNow(10_000))
                .handle((lost, failure) -> {
                    answering = true;
                    return a.ask(B, new Echo("again"), millisFromNow(5_000));
                })
                .thenCompose(again -> again)
                .join();
        assertEquals(new Echo("again"), answer);
    }

    /** Guards against requests with deadlines below the inactivity limit, which hid an unresponsive connection. */
    @Test
    void unresponsiveConnectionIsDetectedWithShortDeadlines() {
        assertEquals(
                new Echo("first"),
                a.ask(B, new Echo("first"), millisFromNow(5_000)).join());
        answering = false;
        long deadlineMillis = System.currentTimeMillis() + 20_000;
        // The third request is pending when the limit of three seconds passes.
        boolean closed = false;
        while (!closed && System.currentTimeMillis() < deadlineMillis) {
            CompletionException failure = assertThrows(
                    CompletionException.class,
                    () -> a.ask(B, new Echo("x"), millisFromNow(1_300)).join());
            closed = String.valueOf(failure.getCause()).contains("nothing arrived");
        }
        assertTrue(closed, "the connection must be closed after three seconds without an answer");
        answering = true;
        assertEquals(
                new Echo("again"),
                a.ask(B, new Echo("again"), millisFromNow(5_000)).join());
    }

    /** Guards against a connection that stays in use after the sheet gives the host another address. */
    @Test
    void changedAddressClosesTheConnection() throws Exception {
        assertEquals(
                new Echo("old"), a.ask(B, new Echo("old"), millisFromNow(5_000)).join());
        addresses = Map.of(A, addresses.get(A), B, freeAddress());
        assertThrows(
                CompletionException.class,
                () -> a.ask(B, new Echo("new"), millisFromNow(2_000)).join());
    }

    @Test
    void unknownHostFailsAtOnce() {
        HostId unknown = new HostId("unknown");
        assertThrows(
                CompletionException.class,
                () -> a.ask(unknown, new Echo("x"), millisFromNow(5_000)).join());
    }

    @Test
    void connectionOfUnlistedHostIsClosed() {
        PeerNetwork stranger = network(STRANGER);
        stranger.start();
        try {
            assertThrows(
                    CompletionException.class,
                    () -> stranger.ask(B, new Echo("x"), millisFromNow(5_000)).join());
        } finally {
            stranger.stop();
        }
    }

    @Test
    void oversizedFrameClosesTheConnection() throws Exception {
        SocketAddressText address = addresses.get(B);
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout(5_000);
            OutputStream out = socket.getOutputStream();
            out.write(new byte[] {0x7f, 0, 0, 0});
            out.flush();
            InputStream in = socket.getInputStream();
            assertEquals(-1, in.read(), "the host must close the connection");
        }
    }

    private PeerNetwork network(HostId self) {
        Hello hello = new Hello(self, new Incarnation(1), new DataCentreId("dc"), SheetVersion.NONE);
        return new PeerNetwork(
                addresses.get(self), directory, () -> hello, codec, this::echo, System::currentTimeMillis);
    }

    private void echo(HostId from, PeerMessage message, Consumer<PeerMessage> reply) {
        if (answering) {
            reply.accept(message);
        }
    }

    private static long millisFromNow(long millis) {
        return System.currentTimeMillis() + TimeUnit.MILLISECONDS.toMillis(millis);
    }

    private static SocketAddressText freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new SocketAddressText("127.0.0.1", socket.getLocalPort());
        }
    }
}
