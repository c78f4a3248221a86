package org.guavathread.router.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.AbstractSocketConnectorHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;

/**
 * Asynchronous HTTP/1.1 client with one connection pool per address.
 *
 * <pre>{@code
 * HttpClient client = HttpClient.start(HttpClientSettings.DEFAULTS, clock);
 * client.send(SocketAddressText.parse("127.0.0.1:9001"), HttpRequest.get("/hosts").build())
 *         .thenAccept(response -> use(response.text()));
 * }</pre>
 *
 * <p>What the two failures guarantee:
 *
 * <ul>
 *   <li>{@link RequestNotSentException}: the operating system accepted no byte of the request and never will. Either no
 *       write was started, or the write failed and the count of accepted bytes was zero.
 *   <li>{@link ExchangeFailedException}: everything else. The request may have run. This includes a write that was
 *       still pending when the exchange ended, even if no byte had been accepted.
 * </ul>
 *
 * <p>Pooled connections that the peer closes while they are idle: a connection whose close has reached this machine
 * before it is taken from the pool is not used. If the close arrives later, but before the operating system accepts the
 * first byte, the request is sent once over a new connection, even if it is non-repeatable, because it was certainly
 * not sent. If the close arrives after the operating system accepted a byte, the exchange fails with
 * {@link ExchangeFailedException} and the client never resends the request: it cannot tell whether the peer has read
 * it.
 */
public final class HttpClient implements AutoCloseable {

    /** Maximum size of all responses that are being collected, in bytes: some hundred times the usual one. */
    private static final long MAX_COLLECTED_BYTES = 8L * 1024 * 1024;

    private final HttpClientSettings settings;
    private final ResponseMemory<Collector> memory = new ResponseMemory<>(MAX_COLLECTED_BYTES);
    private final TCPNIOTransport transport;
    private final AbstractSocketConnectorHandler connector;
    private final Timers timers;
    private final Map<SocketAddressText, ConnectionPool> pools = new ConcurrentHashMap<>();
    private final Set<HttpExchange> running = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private HttpClient(HttpClientSettings settings, Clock clock, TCPNIOTransport transport) {
        this.settings = settings;
        this.transport = transport;
        this.connector = TCPNIOConnectorHandler.builder(transport).build();
        this.timers = new Timers(clock);
    }

    /**
     * Starts a client.
     *
     * @param settings the limits
     * @param clock source of the current time
     * @return the client; close it to stop its threads
     * @throws IOException if the operating system provides no selector
     */
    public static HttpClient start(HttpClientSettings settings, Clock clock) throws IOException {
        HttpClientFilter codec = new HttpClientFilter(settings.maxHeadBytes());
        // Responses are relayed to callers with the header case that the peer used.
        codec.setPreserveHeaderCase(true);
        FilterChain chain = FilterChainBuilder.stateless()
                .add(new CloseDetectingTransportFilter())
                .add(codec)
                .add(new ResponseFilter())
                .build();
        ThreadPoolConfig workers = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("http-client")
                .setDaemon(true)
                .setCorePoolSize(settings.workerThreads())
                .setMaxPoolSize(settings.workerThreads());
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName("http-client")
                .setTcpNoDelay(true)
                .setSelectorRunnersCount(1)
                .setWorkerThreadPoolConfig(workers)
                .setProcessor(chain)
                .build();
        transport.start();
        return new HttpClient(settings, clock, transport);
    }

    /**
     * Sends a request and collects the whole response. Cancelling the future ends the exchange.
     *
     * @param peer the address to send to
     * @param request the request
     * @return the response with any status, or a failure: {@link RequestNotSentException} or
     *     {@link ExchangeFailedException}
     */
    public CompletableFuture<HttpResponse> send(SocketAddressText peer, HttpRequest request) {
        Collector collector = new Collector(peer);
        HttpCall call = stream(peer, request, collector);
        collector.future.whenComplete((response, failure) -> {
            memory.remove(collector);
            if (collector.future.isCancelled() || failure instanceof ResponseTooLargeException) {
                call.cancel();
            }
        });
        return collector.future;
    }

    /**
     * Sends a request and streams the response to a listener.
     *
     * @param peer the address to send to
     * @param request the request
     * @param listener receives the response
     * @return a handle to end the exchange
     */
    public HttpCall stream(SocketAddressText peer, HttpRequest request, HttpResponseListener listener) {
        ConnectionPool pool = poolOf(peer);
        AtomicReference<HttpExchange> self = new AtomicReference<>();
        HttpExchange exchange =
                new HttpExchange(peer, request, listener, pool, timers, () -> running.remove(self.get()));
        self.set(exchange);
        running.add(exchange);
        if (closed) {
            exchange.failNotSent(HttpStep.POOL, "the client is closed", null);
            return exchange;
        }
        exchange.begin();
        return exchange;
    }

    private ConnectionPool poolOf(SocketAddressText peer) {
        return pools.computeIfAbsent(peer, address -> new ConnectionPool(address, settings, connector, timers));
    }

    /**
     * Counts the idle connections to an address.
     *
     * @param peer the address
     * @return the number of open connections that no request uses
     */
    public int idleConnections(SocketAddressText peer) {
        return poolOf(peer).idleCount();
    }

    /**
     * Counts the connections to an address.
     *
     * @param peer the address
     * @return the number of open and opening connections
     */
    public int connections(SocketAddressText peer) {
        return poolOf(peer).slotsUsed();
    }

    /** Ends all exchanges with a failure, closes all connections and stops the threads. */
    @Override
    public void close() {
        closed = true;
        running.forEach(exchange -> exchange.fail("the client was closed", null));
        pools.values().forEach(ConnectionPool::close);
        timers.close();
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException("The HTTP client did not stop its selector.", e);
        }
    }

    /** Collects a response; the exchange bounds its length. */
    private final class Collector implements HttpResponseListener {

        private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final SocketAddressText peer;
        private HttpHead head;

        Collector(SocketAddressText peer) {
            this.peer = peer;
        }

        @Override
        public void onHead(HttpHead received) {
            head = received;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (future.isDone()) {
                return;
            }
            body.writeBytes(bytes);
            memory.add(this, bytes.length).ifPresent(Collector::endTooLarge);
        }

        private void endTooLarge() {
            future.completeExceptionally(new ResponseTooLargeException(peer, MAX_COLLECTED_BYTES));
        }

        @Override
        public void onDone() {
            future.complete(new HttpResponse(head, body.toByteArray()));
        }

        @Override
        public void onFailure(HttpExchangeException failure) {
            future.completeExceptionally(failure);
        }
    }
}
