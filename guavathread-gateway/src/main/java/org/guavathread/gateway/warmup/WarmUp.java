package org.guavathread.gateway.warmup;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.time.Clock;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.Relays;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.caller.CallerServer;
import org.guavathread.router.caller.PauseDetector;
import org.guavathread.router.caller.RequestIds;
import org.guavathread.router.supervisor.Supervised;
import org.tinylog.Logger;

/**
 * Sends sample requests through a router of its own, from a caller in this process to a backend server in this process, so
 * that the code which callers' requests need is loaded and compiled before this host says that it is ready. Requests of
 * callers that arrive meanwhile do the same and count as well.
 */
public final class WarmUp implements Supervised {

    private static final String LOOPBACK = "127.0.0.1";

    /** Any free port. */
    private static final int ANY_PORT = 0;

    private static final long REQUEST_MILLIS = 1_000;

    /** Pause after a request of a caller, or after a sample request that failed. */
    private static final long PAUSE_NANOS = 10_000_000;

    private static final long STOP_WAIT_MILLIS = 500;

    /** Sample requests come in turns, a plain and a streamed one; the first of each loads the code. */
    private static final int REQUESTS_IN_TURN = 2;

    private final HostId host;
    private final GatewayContext context;
    private final SampleTraffic traffic;
    private final int requests;
    private final long warmMillis;
    private final long maxMillis;
    private final DecisionLog log;
    private final Clock clock;
    private final AtomicInteger fromCallers = new AtomicInteger();
    private volatile boolean stopped;
    private volatile boolean ended;
    private Thread thread;

    /**
     * Creates the warm-up.
     *
     * @param host this host
     * @param context components that are not those of callers' requests, except the event loop and the client
     * @param traffic the requests and their answers
     * @param requests number of requests after which the host is warm
     * @param warmMillis the host is warm before that if two sample requests in turn, after the first two, took no longer, in
     *     milliseconds; the less processor time it gets, the longer they take
     * @param maxMillis maximum duration, so that a host which gets little processor time becomes ready all the same
     * @param log receives the outcome
     * @param clock source of the time
     */
    public WarmUp(
            HostId host,
            GatewayContext context,
            SampleTraffic traffic,
            int requests,
            long warmMillis,
            long maxMillis,
            DecisionLog log,
            Clock clock) {
        this.host = host;
        this.context = context;
        this.traffic = traffic;
        this.requests = requests;
        this.warmMillis = warmMillis;
        this.maxMillis = maxMillis;
        this.log = log;
        this.clock = clock;
        this.ended = requests <= 0;
    }

    /** Counts a request of a caller, which warms this host up as well. May be called on any thread. */
    public void callerArrived() {
        fromCallers.incrementAndGet();
    }

    /**
     * Returns whether this host is warm, or has tried for long enough.
     *
     * @return true at the latest a few seconds after the start
     */
    public boolean isOver() {
        return ended;
    }

    @Override
    public String name() {
        return "warm-up";
    }

    @Override
    public void start() {
        if (ended) {
            return;
        }
        thread = new Thread(this::run, name());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        stopped = true;
        if (thread == null) {
            return;
        }
        try {
            thread.join(STOP_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long startedAtMillis = clock.nowMillis();
        PauseDetector pauses = new PauseDetector(clock);
        CallerServer backend = server("warm-up-backend", pauses, traffic::answer);
        CallerServer callers = server("warm-up-callers", pauses, router()::accept);
        try {
            pauses.start();
            backend.start();
            callers.start();
            publish(new SocketAddressText(LOOPBACK, backend.port()));
            send(new SocketAddressText(LOOPBACK, callers.port()), startedAtMillis);
        } catch (RuntimeException e) {
            // This host can serve without it.
            Logger.warn(e, "The warm-up ended early.");
        } finally {
            ended = true;
            callers.stop();
            backend.stop();
            pauses.stop();
        }
    }

    private CallerServer server(String name, PauseDetector pauses, Consumer<CallerExchange> handler) {
        RequestIds ids = new RequestIds(host, new Incarnation(clock.nowMillis()));
        return new CallerServer(new SocketAddressText(LOOPBACK, ANY_PORT), ids, clock, pauses, handler).named(name);
    }

    private RequestRouter router() {
        return new RequestRouter(
                context,
                new OnlyHost(),
                (server, purpose, onResult) -> onResult.accept(context.serverLimits()
                        .termsOf(server, purpose, context.loop().nowMillis())
                        .isEmpty()),
                new NoOrigins(),
                new NoRelays(),
                onDone -> onDone.accept(true));
    }

    private void publish(SocketAddressText server) {
        context.loop()
                .execute(() -> context.state()
                        .applyListing(traffic.items(server), new StorePosition(1, 1), clock.nowMillis()));
    }

    /** Sends one request after the other, and none while callers send theirs. */
    private void send(SocketAddressText callers, long startedAtMillis) {
        long untilMillis = startedAtMillis + maxMillis;
        int served = 0;
        int failed = 0;
        int fast = 0;
        int fromCallersBefore = 0;
        while (!stopped
                && fast < REQUESTS_IN_TURN
                && served + fromCallers.get() < requests
                && clock.nowMillis() < untilMillis) {
            long sentAtMillis = clock.nowMillis();
            if (fromCallers.get() > fromCallersBefore) {
                fromCallersBefore = fromCallers.get();
                LockSupport.parkNanos(PAUSE_NANOS);
            } else if (isServed(callers, served + failed)) {
                served++;
                boolean isFast = served > REQUESTS_IN_TURN && clock.nowMillis() - sentAtMillis < warmMillis;
                fast = isFast ? fast + 1 : 0;
            } else {
                failed++;
                fast = 0;
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
        log.entry("warm-up")
                .with("served", served)
                .with("failed", failed)
                .with("fromCallers", fromCallers.get())
                .with("millis", clock.nowMillis() - startedAtMillis)
                .with(
                        "outcome",
                        fast >= REQUESTS_IN_TURN || served + fromCallers.get() >= requests ? "complete" : "incomplete")
                .write();
    }

    private boolean isServed(SocketAddressText callers, int number) {
        long now = clock.nowMillis();
        try {
            return context.client()
                            .send(callers, traffic.request(number, now + REQUEST_MILLIS, now))
                            .join()
                            .status()
                    == 200;
        } catch (CompletionException e) {
            Logger.debug(e, "Request {} of the warm-up has no answer.", number);
            return false;
        }
    }

    /** The fleet of a host that knows no other. */
    private static final class OnlyHost implements RequestRouter.FleetLoad {

        @Override
        public void loadChanged() {
            // No other host is told.
        }

        @Override
        public WaitingRank bestWaitingElsewhere() {
            return WaitingRank.NONE;
        }

        @Override
        public boolean othersServe() {
            return false;
        }

        @Override
        public boolean decidesFor(String key) {
            return true;
        }
    }

    /** Knows no streams that callers take up again; sample traffic has none. */
    private static final class NoOrigins implements RequestRouter.Origins {

        @Override
        public void began(String attemptId, SoftwareVersion version, long expiresAtMillis) {
            // Nobody asks for it.
        }

        @Override
        public void find(
                Optional<String> attemptId,
                ServiceName service,
                long maxAgeMillis,
                Consumer<Optional<SoftwareVersion>> onResult) {
            onResult.accept(Optional.empty());
        }
    }

    /** No other host sends requests for this one. */
    private static final class NoRelays implements Relays {

        @Override
        public Optional<RelayHost> next(Set<HostId> tried, Predicate<DataCentreId> allowed) {
            return Optional.empty();
        }

        @Override
        public void failed(HostId relay) {
            // There is none.
        }
    }
}
