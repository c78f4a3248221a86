package org.guavathread.gateway.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.function.Consumer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.registry.DepartureNotice;
import org.guavathread.core.share.SpendingNotice;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.stream.StreamOriginNotice;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.router.supervisor.Supervised;
import org.guavathread.wire.CodecException;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;
import org.tinylog.Logger;

/**
 * Exchanges gossip reports between hosts as UDP datagrams. Each report replaces the earlier ones, so lost datagrams need
 * no retransmission. A TCP connection, in contrast, can stall unnoticed.
 */
public final class GossipSocket implements Supervised {

    private static final int GOSSIP_MESSAGE = 1;
    private static final int STREAM_ORIGIN_MESSAGE = 2;
    private static final int DEPARTURE_MESSAGE = 3;
    private static final int SPENDING_MESSAGE = 4;

    /** Fits into one network packet; a fragmented datagram would be lost with any one of its fragments. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    private final SocketAddressText listen;
    private final Consumer<PeerMessage> onMessage;
    private final UnreadableMessages unreadable;
    private final FrameCodec codec = FrameCodec.forSeveralBuilds(new MessageRegistry()
            .register(GOSSIP_MESSAGE, GossipPacket.class)
            .register(STREAM_ORIGIN_MESSAGE, StreamOriginNotice.class)
            .register(DEPARTURE_MESSAGE, DepartureNotice.class)
            .register(SPENDING_MESSAGE, SpendingNotice.class));
    private final ReportFormats formats = new ReportFormats();
    private final UDPNIOTransport transport;
    private Connection<SocketAddress> socket;

    /**
     * Creates the socket.
     *
     * @param listen address on which datagrams are received
     * @param onMessage receives decoded messages, on a network thread
     * @param metrics counts datagrams that cannot be decoded
     */
    public GossipSocket(SocketAddressText listen, Consumer<PeerMessage> onMessage, GatewayMetrics metrics) {
        this.listen = listen;
        this.onMessage = onMessage;
        this.unreadable = new UnreadableMessages("gossip packet", metrics);
        this.transport = UDPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setProcessor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new Receiver())
                        .build())
                .build();
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its bytes
     */
    public byte[] encode(PeerMessage message) {
        return codec.encode(new Frame(0, false, message));
    }

    /**
     * Encodes a packet with reports of a number of components.
     *
     * @param packet the packet
     * @param fields number of components
     * @return its bytes
     */
    byte[] encode(GossipPacket packet, int fields) {
        return codec.encode(new Frame(ReportFormats.OWN_FIELDS, false, packet), HostReport.class, fields);
    }

    /**
     * Returns the formats in which a host gets reports.
     *
     * @param host address of the host
     * @return numbers of components
     */
    List<Integer> fieldsFor(SocketAddressText host) {
        return formats.fieldsFor(host);
    }

    /**
     * Decodes a message.
     *
     * @param bytes the datagram
     * @return the message
     * @throws CodecException if the bytes are no message
     */
    PeerMessage decode(byte[] bytes) {
        Frame frame = codec.decode(bytes);
        if (frame.message() instanceof GossipPacket packet) {
            formats.received(packet.own().peers(), frame.correlation(), bytes);
        }
        return frame.message();
    }

    /**
     * Sends a message; delivery is not guaranteed.
     *
     * @param to the receiver
     * @param bytes the encoded message
     */
    public void send(SocketAddressText to, byte[] bytes) {
        socket.write(
                new InetSocketAddress(to.ip(), to.port()),
                Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes),
                null);
    }

    @Override
    public String name() {
        return "gossip";
    }

    @Override
    @SuppressWarnings("unchecked")
    public void start() {
        try {
            socket = transport.bind(new InetSocketAddress(listen.ip(), listen.port()));
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot receive gossip on " + listen + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void stop() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            Logger.warn("Closing the gossip socket failed: {}.", e.getMessage());
        }
    }

    /** Decodes datagrams. */
    private final class Receiver extends BaseFilter {

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Buffer buffer = ctx.getMessage();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            try {
                onMessage.accept(decode(bytes));
            } catch (CodecException e) {
                unreadable.count(ctx.getAddress(), e);
            }
            return ctx.getStopAction();
        }
    }
}
