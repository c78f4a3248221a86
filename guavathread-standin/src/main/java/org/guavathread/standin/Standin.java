package org.guavathread.standin;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.tinylog.Logger;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The common part of all stand-ins: HTTP server on the loopback address, fault injection, log of received requests, run
 * counts, crash and restart.
 *
 * <p>Endpoints of every stand-in, not subject to faults: {@code POST /standin/faults}, {@code GET /standin/faults},
 * {@code GET /standin/received} ({@code ?contains=TEXT} tells whether any request contained the text), {@code GET
 * /standin/runs}.
 */
public abstract class Standin implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";

    private final Faults faults = new Faults();
    private final ReceivedLog received = new ReceivedLog();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final ScheduledThreadPoolExecutor scheduler;
    private int port;
    private HttpServer server;
    private boolean closed;

    Standin(int port) {
        this.port = port;
        this.scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "standin-scheduler");
            thread.setDaemon(true);
            return thread;
        });
        scheduler.setRemoveOnCancelPolicy(true);
    }

    /** Runs a request. Called on a worker thread; the response may be sent later. */
    abstract void run(Call call) throws IOException;

    /** Handles an endpoint below {@code /standin/} that only this stand-in has; returns false if there is none. */
    boolean control(Call call) throws IOException {
        return false;
    }

    /** Clears the state that a process loses when it crashes. */
    abstract void clearState();

    final void startServer() throws IOException {
        synchronized (this) {
            if (closed || server != null) {
                return;
            }
            NetworkListener listener = new NetworkListener("standin", LOOPBACK, port);
            ThreadPoolConfig workers = ThreadPoolConfig.defaultConfig()
                    .copy()
                    .setPoolName("standin")
                    .setDaemon(true)
                    .setCorePoolSize(2)
                    .setMaxPoolSize(8);
            listener.getTransport().setSelectorRunnersCount(1);
            listener.getTransport().setWorkerThreadPoolConfig(workers);
            HttpServer next = new HttpServer();
            next.addListener(listener);
            next.getServerConfiguration().addHttpHandler(new Handler(), "/");
            next.start();
            port = listener.getPort();
            server = next;
        }
    }

    private void stopServer() {
        HttpServer stopped;
        synchronized (this) {
            stopped = server;
            server = null;
        }
        if (stopped != null) {
            stopped.shutdownNow();
        }
    }

    /**
     * Returns the address that the stand-in listens on.
     *
     * @return for example {@code "127.0.0.1:40123"}; restarts keep the port
     */
    public final synchronized String address() {
        return LOOPBACK + ":" + port;
    }

    /**
     * Returns the injected faults.
     *
     * @return the faults, none of them active initially
     */
    public final Faults faults() {
        return faults;
    }

    /**
     * Returns the log of received requests.
     *
     * @return the log; crashes do not clear it
     */
    public final ReceivedLog received() {
        return received;
    }

    /**
     * Counts how often a request ran.
     *
     * @param requestId the request ID, from the header {@code Guavathread-Request-Id}
     * @return the count; crashes do not reset it
     */
    public final int runs(String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    /**
     * Counts all runs.
     *
     * @return the count
     */
    public final int totalRuns() {
        return runs.values().stream().mapToInt(Integer::intValue).sum();
    }

    final void countRun(String requestId) {
        runs.merge(requestId, 1, Integer::sum);
    }

    /**
     * Counts crashes.
     *
     * @return the count
     */
    public final int crashes() {
        return crashes.get();
    }

    /** Closes the port and all connections and clears the state that a crash loses. */
    public final void crash() {
        crashes.incrementAndGet();
        stopServer();
        clearState();
        long restartAfterMillis = faults.restartAfterMillis();
        if (restartAfterMillis >= 0) {
            later(restartAfterMillis, this::restart);
        }
    }

    /** Restarts a crashed stand-in on its previous port. */
    public final void restart() {
        try {
            startServer();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "The stand-in cannot listen on " + address()
                            + " after a restart; another process may use the port.",
                    e);
        }
    }

    /** Runs a task after a delay on the single scheduler thread of the stand-in. */
    final void later(long delayMillis, Runnable task) {
        try {
            scheduler.schedule(() -> runAndLogFailure(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("Dropped a task because the stand-in is closed.");
        }
    }

    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "A scheduled task of a stand-in failed.");
        }
    }

    static long nowMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public final void close() {
        synchronized (this) {
            closed = true;
        }
        scheduler.shutdownNow();
        stopServer();
    }

    private void handle(Call call) throws IOException {
        if (call.path().startsWith("/standin/")) {
            answerControl(call);
            return;
        }
        received.add(call.received());
        if (faults.consumeRefuse()) {
            call.answer(503);
        } else if (faults.consumeDropBefore()) {
            call.drop();
        } else if (!faults.consumeStall()) {
            runAfterDelay(call);
        }
    }

    private void runAfterDelay(Call call) {
        long delayMillis = faults.delayMillis();
        if (delayMillis <= 0) {
            runOrCrash(call);
        } else {
            later(delayMillis, () -> runOrCrash(call));
        }
    }

    private void runOrCrash(Call call) {
        if (faults.crashesOn(call.text())) {
            // Runs on the scheduler, because a worker thread cannot wait for its own thread pool to terminate.
            later(0, this::crash);
            return;
        }
        if (faults.consumeDropAfter()) {
            call.dropResponse();
        }
        if (faults.consumeStallAfter()) {
            call.stallResponse();
        }
        try {
            run(call);
        } catch (IOException | RuntimeException e) {
            Logger.warn(e, "A stand-in failed to run {} {}.", call.method(), call.path());
            call.answer(400);
        }
    }

    private void answerControl(Call call) throws IOException {
        if (call.is("POST /standin/faults")) {
            faults.apply(call.json());
            call.answer(200, faults.toJson());
        } else if (call.is("GET /standin/faults")) {
            call.answer(200, faults.toJson());
        } else if (call.is("GET /standin/received")) {
            answerReceived(call);
        } else if (!control(call)) {
            if (call.is("GET /standin/runs")) {
                call.answer(200, Call.MAPPER.valueToTree(runs));
            } else {
                call.answer(404);
            }
        }
    }

    private void answerReceived(Call call) {
        String text = call.query("contains", "");
        if (!text.isEmpty()) {
            call.answer(200, Call.MAPPER.createObjectNode().put("contains", received.everContained(text)));
            return;
        }
        ArrayNode list = Call.MAPPER.createArrayNode();
        for (ReceivedLog.Received request : received.all()) {
            ObjectNode node = list.addObject().put("method", request.method()).put("target", request.target());
            node.set("headers", Call.MAPPER.valueToTree(request.headers()));
            node.put("body", request.body());
        }
        call.answer(200, list);
    }

    /** Reads each request completely before it is handled. */
    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws Exception {
            Call call = new Call(request, response);
            response.suspend();
            handle(call);
        }
    }
}
