package org.guavathread.gateway.fleet;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.wire.CodecException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that messages of another build stop, or whose log they fill. */
class UnreadableMessagesTest {

    private static final String UNKNOWN_TYPE = "942a00c200";
    private static final String MALFORMED = "93c0";
    private static final String NOTICE = "940300c290";
    private static final int TIMEOUT_MILLIS = 5_000;

    private final GatewayMetrics metrics = new GatewayMetrics();

    @Test
    void datagramsAreCountedAndTheNextOneIsRead() throws Exception {
        int port;
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = probe.getLocalPort();
        }
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        GossipSocket socket = new GossipSocket(new SocketAddressText("127.0.0.1", port), received::add, metrics);
        socket.start();
        try (DatagramSocket sender = new DatagramSocket()) {
            for (String hex : new String[] {UNKNOWN_TYPE, MALFORMED, UNKNOWN_TYPE, NOTICE}) {
                byte[] bytes = HexFormat.of().parseHex(hex);
                sender.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
            }
            assertNotNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } finally {
            socket.stop();
        }
        String text = new String(metrics.text(), StandardCharsets.UTF_8);
        assertTrue(text.contains("guavathread_unreadable_messages_total{reason=\"unknown\"} 2.0"), text);
        assertTrue(text.contains("guavathread_unreadable_messages_total{reason=\"malformed\"} 1.0"), text);
    }

    @Test
    void onlyTheFirstOfManyIsLogged() {
        UnreadableMessages unreadable = new UnreadableMessages("packet", metrics);
        assertTrue(unreadable.count("a", new CodecException("one")));
        for (int i = 0; i < 1_000; i++) {
            assertFalse(unreadable.count("a", new CodecException("more")));
        }
    }
}
