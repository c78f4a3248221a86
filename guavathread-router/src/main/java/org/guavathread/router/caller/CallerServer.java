package org.guavathread.router.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Supervised;

/**
 * HTTP server for callers. Bodies are read without blocking, so that a slow caller occupies a buffer but no thread.
 *
 * <pre>{@code
 * new CallerServer(settings.listenCallers(), ids, clock, exchange -> router.route(exchange)).start();
 * }</pre>
 */
public final class CallerServer implements Supervised {

    /** Response header with the id of the request. */
    public static final String REQUEST_ID_HEADER = "Guavathread-Request-Id";

    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 500;
    private static final int READ_CHUNK_BYTES = 8 * 1024;

    private final SocketAddressText listen;
    private final RequestIds ids;
    private final Clock clock;
    private final PauseDetector pauseDetector;
    private final Consumer<CallerExchange> handler;
    private final HttpServer server = new HttpServer();
    private final ConnectionGuard guard;
    private Supplier<CallerBounds> bounds = () -> CallerLimits.DEFAULT_BOUNDS;
    private String name = "callers";
    private final Map<BodyReader, Boolean> receiving = new ConcurrentHashMap<>();
    private final ScheduledExecutorService housekeeping =
            Executors.newSingleThreadScheduledExecutor(CallerServer::housekeepingThread);

    /**
     * Builds the server.
     *
     * @param listen the address to listen on
     * @param ids generates the request ids
     * @param clock source of the current time
     * @param pauseDetector corrects the arrival time of requests that waited while the process was paused
     * @param handler handles each complete request, on a network thread; must not block
     */
    public CallerServer(
            SocketAddressText listen,
            RequestIds ids,
            Clock clock,
            PauseDetector pauseDetector,
            Consumer<CallerExchange> handler) {
        this.listen = listen;
        this.ids = ids;
        this.clock = clock;
        this.pauseDetector = pauseDetector;
        this.handler = handler;
        this.guard = new ConnectionGuard(clock, () -> bounds.get());
    }

    /**
     * Replaces the bounds on what callers may send.
     *
     * @param current supplies the bounds in force; called often, from network threads
     * @return this server
     */
    public CallerServer bounds(Supplier<CallerBounds> current) {
        bounds = current;
        return this;
    }

    /**
     * Replaces the name of the server in logs.
     *
     * @param next who calls it, for example {@code "peers"}
     * @return this server
     */
    public CallerServer named(String next) {
        name = next;
        return this;
    }

    @Override
    public String name() {
        return name + "-server";
    }

    @Override
    public void start() {
        NetworkListener listener = new NetworkListener(name, listen.ip(), listen.port());
        // The guard applies the bounds in force, which may change; those of the listener are fixed at its start.
        listener.setMaxHttpHeaderSize(CallerLimits.MAX_HEADER_BYTES);
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getTransport().setKeepAlive(true);
        listener.getTransport().setTcpNoDelay(true);
        listener.registerAddOn(guard);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Handler(), "/");
        server.getServerConfiguration()
                .setDefaultErrorPageGenerator((request, status, reason, description, failure) -> "");
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen for " + name + " on " + listen + ": " + e.getMessage(), e);
        }
        housekeeping.scheduleWithFixedDelay(
                this::expire, HOUSEKEEPING_INTERVAL_MILLIS, HOUSEKEEPING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        housekeeping.shutdownNow();
        server.shutdownNow();
    }

    /** Closes the listening socket; open connections are served on. */
    public void stopAccepting() {
        for (NetworkListener listener : server.getListeners()) {
            listener.getTransport().unbindAll();
        }
    }

    /**
     * Returns the number of requests that have begun to arrive and are not complete.
     *
     * @return requests whose body is being received
     */
    public int receiving() {
        return receiving.size();
    }

    private void expire() {
        long now = clock.nowMillis();
        receiving.keySet().forEach(r -> r.expire(now));
        guard.expire(now);
    }

    private static Thread housekeepingThread(Runnable task) {
        Thread thread = new Thread(task, "caller-housekeeping");
        thread.setDaemon(true);
        return thread;
    }

    /** Starts reading the body of each request. */
    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) {
            response.suspend();
            guard.onHeadersReceived(request.getRequest().getConnection());
            BodyReader reader = new BodyReader(request, response);
            if (request.getContentLengthLong() > reader.maxBodyBytes) {
                reader.refuseTooLarge();
                return;
            }
            receiving.put(reader, Boolean.TRUE);
            reader.awaitMore();
        }
    }

    /** Reads one body as it arrives and then passes the request to the handler. */
    private final class BodyReader implements ReadHandler {

        private final Request request;
        private final Response response;
        private final NIOInputStream in;
        private final long deadlineMillis = clock.nowMillis() + CallerLimits.RECEIVE_DEADLINE_MILLIS;
        private final int maxBodyBytes = bounds.get().maxBodyBytes();
        private final long arrivedAtMillis = pauseDetector.arrivalMillis();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        BodyReader(Request request, Response response) {
            this.request = request;
            this.response = response;
            this.in = request.getNIOInputStream();
        }

        @Override
        public void onDataAvailable() throws Exception {
            readAvailable();
            if (body.size() > maxBodyBytes) {
                refuseTooLarge();
                return;
            }
            awaitMore();
        }

        private void awaitMore() {
            // Grizzly recycles the request when its response ends, which may be before this call returns.
            Connection<?> connection = request.getRequest().getConnection();
            in.notifyAvailable(this);
            if (receiving.containsKey(this)) {
                guard.onBodyAwaited(connection);
            }
        }

        @Override
        public void onAllDataRead() throws Exception {
            readAvailable();
            if (body.size() > maxBodyBytes) {
                refuseTooLarge();
            } else if (receiving.remove(this) != null) {
                Optional<String> framingFault = RequestFraming.faultOf(request);
                if (framingFault.isPresent()) {
                    refuseAndClose(Refusal.notRun(RefusalCode.BAD_REQUEST, framingFault.get()));
                    return;
                }
                GrizzlyExchange exchange = new GrizzlyExchange(
                        ids.next(), request, response, body.toByteArray(), guard, arrivedAtMillis, clock);
                guard.onRequestComplete(request.getRequest().getConnection());
                handler.accept(exchange);
            }
        }

        @Override
        public void onError(Throwable failure) {
            receiving.remove(this);
            if (response.isSuspended()) {
                response.resume();
            }
        }

        void expire(long nowMillis) {
            if (nowMillis >= deadlineMillis && receiving.remove(this) != null) {
                refuseAndClose(Refusal.notRun(
                        RefusalCode.BAD_REQUEST,
                        "The body was not complete within " + CallerLimits.RECEIVE_DEADLINE_MILLIS
                                + " ms; send it faster or in a smaller request."));
            }
        }

        void refuseTooLarge() {
            receiving.remove(this);
            refuseAndClose(Refusal.notRun(
                    RefusalCode.TOO_LARGE, "The body exceeds " + maxBodyBytes + " bytes; send a smaller one."));
        }

        private void refuseAndClose(Refusal refusal) {
            GrizzlyExchange exchange =
                    new GrizzlyExchange(ids.next(), request, response, new byte[0], guard, arrivedAtMillis, clock);
            exchange.closeAfterAnswer();
            // An earlier attempt of a request with an idempotency key may have arrived complete at another host.
            boolean mayHaveRun = exchange.header("Idempotency-Key").isPresent();
            exchange.refuse(mayHaveRun ? Refusal.unknown(refusal.code(), refusal.message()) : refusal);
        }

        private void readAvailable() throws IOException {
            byte[] chunk = new byte[READ_CHUNK_BYTES];
            while (in.isReady() && body.size() <= maxBodyBytes) {
                int read = in.read(chunk);
                if (read <= 0) {
                    return;
                }
                body.write(chunk, 0, read);
            }
        }
    }
}
