package org.guavathread.router.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.Hello;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Supervised;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.tinylog.Logger;

/**
 * Sends messages to other hosts and receives theirs. Opens one connection to each host that it sends messages to; a
 * reply arrives on the connection of its request.
 *
 * <pre>{@code
 * network.ask(host, new WitnessPing(epoch), clock.nowMillis() + 500).thenAccept(reply -> ...);
 * }</pre>
 */
public final class PeerNetwork implements Supervised {

    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 100;
    private static final int MAX_PENDING_WRITE_BYTES = 4 * 1024 * 1024;
    private static final int MAX_LOGGED_NAME_LENGTH = 64;

    private final SocketAddressText listen;
    private final PeerDirectory directory;
    private final Supplier<Hello> hello;
    private final PeerHandler handler;
    private final Clock clock;
    private final TCPNIOTransport transport;
    private final Attribute<PeerConnection> connectionAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("peer-connection-" + System.identityHashCode(this));
    private final Map<HostId, CompletableFuture<PeerConnection>> outgoing = new ConcurrentHashMap<>();
    private final Set<Connection<?>> incoming = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService housekeeping =
            Executors.newSingleThreadScheduledExecutor(PeerNetwork::housekeepingThread);

    /**
     * Builds the network.
     *
     * @param listen the address to listen on for other hosts
     * @param directory looks up the known hosts
     * @param hello supplies the first message of each connection
     * @param codec encodes and decodes frames
     * @param handler handles the messages of other hosts
     * @param clock source of the current time
     */
    public PeerNetwork(
            SocketAddressText listen,
            PeerDirectory directory,
            Supplier<Hello> hello,
            FrameCodec codec,
            PeerHandler handler,
            Clock clock) {
        this.listen = listen;
        this.directory = directory;
        this.hello = hello;
        this.handler = handler;
        this.clock = clock;
        FilterChainBuilder chain = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter(codec))
                .add(new MessageFilter());
        transport = TCPNIOTransportBuilder.newInstance()
                .setProcessor(chain.build())
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_WRITE_BYTES);
    }

    @Override
    public String name() {
        return "peer-network";
    }

    @Override
    public void start() {
        try {
            transport.bind(new InetSocketAddress(listen.ip(), listen.port()));
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen for hosts on " + listen + ": " + e.getMessage(), e);
        }
        housekeeping.scheduleWithFixedDelay(
                this::expireAll, HOUSEKEEPING_INTERVAL_MILLIS, HOUSEKEEPING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        housekeeping.shutdownNow();
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            Logger.warn(e, "The network between hosts did not stop cleanly.");
        }
    }

    /**
     * Sends a message that expects no reply. A lost message is not reported.
     *
     * @param to the host
     * @param message the message
     */
    public void send(HostId to, PeerMessage message) {
        connectionTo(to).thenAccept(c -> c.send(message)).exceptionally(e -> null);
    }

    /**
     * Sends a request and returns its reply asynchronously.
     *
     * @param to the host
     * @param message the message
     * @param deadlineMillis deadline of the reply, in milliseconds since the epoch
     * @return the reply, completed on a network thread; failed with {@link PeerException}
     */
    public CompletableFuture<PeerMessage> ask(HostId to, PeerMessage message, long deadlineMillis) {
        CompletableFuture<PeerMessage> reply =
                connectionTo(to).thenCompose(c -> c.ask(message, clock.nowMillis(), deadlineMillis));
        if (reply.isDone()) {
            return reply;
        }
        long waitMillis = Math.max(1, deadlineMillis - clock.nowMillis());
        return reply.orTimeout(waitMillis + HOUSEKEEPING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> {
                    throw namedFailure(failure, to);
                });
    }

    /** Names step and peer when the time-out fires first, because the housekeeping is late on a busy machine. */
    private static CompletionException namedFailure(Throwable failure, HostId to) {
        if (failure instanceof TimeoutException) {
            return new CompletionException(new PeerException("wait for an answer", to, "its deadline passed"));
        }
        return failure instanceof CompletionException completion ? completion : new CompletionException(failure);
    }

    /**
     * Counts the open connections.
     *
     * @return connections in both directions
     */
    public int openConnections() {
        return incoming.size()
                + (int) outgoing.values().stream()
                        .filter(f -> f.isDone() && !f.isCompletedExceptionally())
                        .count();
    }

    private CompletableFuture<PeerConnection> connectionTo(HostId to) {
        CompletableFuture<PeerConnection> existing = outgoing.get(to);
        if (existing != null && isUsable(to, existing)) {
            return existing;
        }
        CompletableFuture<PeerConnection> fresh = new CompletableFuture<>();
        CompletableFuture<PeerConnection> used = outgoing.compute(to, (h, old) -> isUsable(h, old) ? old : fresh);
        if (used == fresh) {
            connect(to, fresh);
        }
        return used;
    }

    private boolean isUsable(HostId to, CompletableFuture<PeerConnection> future) {
        if (future == null || future.isCompletedExceptionally()) {
            return false;
        }
        if (!future.isDone()) {
            return true;
        }
        PeerConnection connection = future.join();
        if (directory.addressOf(to).filter(connection::hasAddress).isEmpty()) {
            connection.close("the sheet gives the host another address");
        }
        return connection.isOpen();
    }

    @SuppressWarnings("rawtypes") // Grizzly declares the handler with the raw type.
    private void connect(HostId to, CompletableFuture<PeerConnection> result) {
        Optional<SocketAddressText> address = directory.addressOf(to);
        if (address.isEmpty()) {
            result.completeExceptionally(new PeerException("connect", to, "the sheet in force does not list it"));
            return;
        }
        InetSocketAddress target =
                new InetSocketAddress(address.get().ip(), address.get().port());
        CompletionHandler<Connection> onConnected = new EmptyCompletionHandler<>() {
            @Override
            public void completed(Connection connection) {
                PeerConnection peer = new PeerConnection(connection, to, address.get());
                connectionAttribute.set(connection, peer);
                peer.send(hello.get());
                result.complete(peer);
            }

            @Override
            public void failed(Throwable e) {
                result.completeExceptionally(new PeerException("connect", to, String.valueOf(e.getMessage())));
            }
        };
        transport.connect(target, onConnected);
        result.orTimeout(PeerConnection.INACTIVITY_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void expireAll() {
        long now = clock.nowMillis();
        outgoing.values().forEach(f -> {
            if (f.isDone() && !f.isCompletedExceptionally()) {
                f.join().expire(now);
            }
        });
    }

    private static Thread housekeepingThread(Runnable task) {
        Thread thread = new Thread(task, "peer-housekeeping");
        thread.setDaemon(true);
        return thread;
    }

    /** Dispatches the frames of a connection: the initial Hello, replies and other messages. */
    private final class MessageFilter extends BaseFilter {

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Connection<?> connection = ctx.getConnection();
            Frame frame = ctx.getMessage();
            PeerConnection peer = connectionAttribute.get(connection);
            if (peer == null) {
                handleHello(connection, frame);
            } else if (frame.reply()) {
                peer.onReceived();
                peer.complete(frame.correlation(), frame.message());
            } else {
                peer.onReceived();
                handler.handle(peer.peer(), frame.message(), reply -> reply(connection, frame, reply));
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            incoming.remove(ctx.getConnection());
            PeerConnection peer = connectionAttribute.get(ctx.getConnection());
            if (peer != null) {
                peer.failAll("the connection was closed");
            }
            return ctx.getStopAction();
        }

        private void handleHello(Connection<?> connection, Frame frame) {
            String ip = ((InetSocketAddress) connection.getPeerAddress())
                    .getAddress()
                    .getHostAddress();
            if (frame.message() instanceof Hello helloMessage && directory.accepts(helloMessage.host(), ip)) {
                connectionAttribute.set(connection, new PeerConnection(connection, helloMessage.host(), listen));
                incoming.add(connection);
                return;
            }
            String what = frame.message() instanceof Hello helloMessage
                    ? "host " + shortened(helloMessage.host().value()) + " is not listed with this IP address"
                    : "its first message was not a Hello";
            Logger.warn("Closing the connection from {}: {}.", ip, what);
            connection.closeSilently();
        }

        private void reply(Connection<?> connection, Frame request, PeerMessage reply) {
            if (request.correlation() != 0) {
                connection.write(new Frame(request.correlation(), true, reply));
            }
        }

        private String shortened(String name) {
            return name.length() <= MAX_LOGGED_NAME_LENGTH ? name : name.substring(0, MAX_LOGGED_NAME_LENGTH) + "...";
        }
    }
}
