package org.guavathread.router.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Supervised;
import org.tinylog.Logger;

/**
 * HTTP server for callers. Requests are received without blocking, so that a slow caller occupies a buffer but no thread.
 *
 * <pre>{@code
 * new CallerServer(settings.listenCallers(), ids, clock, exchange -> router.route(exchange)).start();
 * }</pre>
 */
public final class CallerServer implements Supervised {

    /** Response header with the id of the request. */
    public static final String REQUEST_ID_HEADER = "Guavathread-Request-Id";

    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 500;

    private final SocketAddressText listen;
    private final RequestIds ids;
    private final Clock clock;
    private final PauseDetector pauseDetector;
    private final Consumer<CallerExchange> handler;
    private final HttpServer server = new HttpServer();
    private final RequestReceiver receiver;
    private Supplier<CallerBounds> bounds = () -> CallerLimits.DEFAULT_BOUNDS;
    private String name = "callers";
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
        this.receiver = new RequestReceiver(clock, () -> bounds.get());
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
        // The receiver applies the bounds in force, which may change; those of the listener are fixed at its start.
        listener.setMaxHttpHeaderSize(CallerLimits.MAX_HEADER_BYTES);
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getTransport().setKeepAlive(true);
        listener.getTransport().setTcpNoDelay(true);
        listener.registerAddOn(receiver);
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

    /**
     * Returns the port on which the server listens once it has started.
     *
     * @return the port, also if it was left to the operating system
     */
    public int port() {
        return server.getListeners().iterator().next().getPort();
    }

    /** Closes the listening socket; open connections are served on. */
    public void stopAccepting() {
        for (NetworkListener listener : server.getListeners()) {
            listener.getTransport().unbindAll();
        }
    }

    /** How far a request has come. */
    public enum RequestStep {
        /** Its head has arrived and its body has not, or it waits for the one before it on its connection. */
        ARRIVING,
        /** It has arrived whole, and its answer has not been handed over to its end. */
        IN_PROGRESS,
        /** Its answer has been handed over, and a part of it is not written yet, since the caller reads slowly. */
        BEING_WRITTEN
    }

    /**
     * A request to which something is owed.
     *
     * @param caller address of the caller
     * @param target path and query; empty while the request is arriving
     * @param step how far it has come
     * @param unwrittenBytes bytes of answers that the operating system has not taken yet
     */
    public record Unfinished(String caller, String target, RequestStep step, int unwrittenBytes) {}

    /**
     * Returns the requests that have begun to arrive and whose answers the operating system has not taken whole.
     *
     * @return one for each connection that has some
     */
    public List<Unfinished> unfinished() {
        return receiver.unfinished();
    }

    private void expire() {
        receiver.expire(clock.nowMillis());
    }

    private static Thread housekeepingThread(Runnable task) {
        Thread thread = new Thread(task, "caller-housekeeping");
        thread.setDaemon(true);
        return thread;
    }

    /** Passes requests, which have arrived whole, to the handler. */
    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) {
            response.suspend();
            Connection<?> connection = request.getRequest().getConnection();
            try {
                ReceivedRequest received = receiver.beginHandling(connection);
                long arrivedAtMillis = Math.min(received.headCompleteMillis(), pauseDetector.arrivalMillis());
                handler.accept(
                        new GrizzlyExchange(ids.next(), request, response, received, receiver, arrivedAtMillis, clock));
            } catch (RuntimeException | Error e) {
                Logger.error(e, "A request from {} ended without an answer.", connection.getPeerAddress());
                connection.closeSilently();
            }
        }
    }
}
