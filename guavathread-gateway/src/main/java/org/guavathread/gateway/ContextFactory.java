package org.guavathread.gateway;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

import org.guavathread.core.dispatch.AnswerDurationEstimator;
import org.guavathread.core.dispatch.ColdServers;
import org.guavathread.core.dispatch.CrashSuspects;
import org.guavathread.core.dispatch.DrainAdmission;
import org.guavathread.core.dispatch.EngineDispatch;
import org.guavathread.core.dispatch.KeptRoom;
import org.guavathread.core.dispatch.PlainDispatch;
import org.guavathread.core.dispatch.PriorityDemand;
import org.guavathread.core.dispatch.ServerHealth;
import org.guavathread.core.dispatch.ServerLimits;
import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.dispatch.ServerPauses;
import org.guavathread.core.dispatch.ServerReach;
import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.share.FairShareTracker;
import org.guavathread.core.share.SharedRetryBudget;
import org.guavathread.core.share.SharedTokenLimits;
import org.guavathread.core.time.Clock;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.ServerNotices;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.gateway.protocol.BackendProtocol;
import org.guavathread.gateway.settings.GatewaySettings;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpClientSettings;

/** Creates the components that requests share, with nothing known yet. */
final class ContextFactory {

    /** Maximum number of connections to one backend server: this host's share of the server's own connection limit. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 128;

    private static final int MAX_WAITING_CALLS = 256;

    /** Hosts, backend servers and the store accept connections within milliseconds; an unresponsive one must not delay a
     * request. */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** Reports that a server misses before the store removes its entry. */
    private static final int MISSED_REPORTS = 3;

    private final GatewaySettings settings;
    private final Platform platform;
    private final Clock clock;
    private final BooleanSupplier isLeaving;

    ContextFactory(GatewaySettings settings, Platform platform, Clock clock, BooleanSupplier isLeaving) {
        this.settings = settings;
        this.platform = platform;
        this.clock = clock;
        this.isLeaving = isLeaving;
    }

    /** Starts the client. Connections are not reused, so that a late answer cannot be mistaken for another one. */
    HttpClient startClient() throws IOException {
        HttpClientSettings client = HttpClientSettings.DEFAULTS
                .withPool(MAX_CONNECTIONS_PER_SERVER, MAX_WAITING_CALLS)
                .withConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                .withIdleMillis(0, 0);
        return HttpClient.start(client, clock);
    }

    GatewayContext create(EventLoop loop, HttpClient client, DecisionLog log, SplittableRandom random) {
        ServerLoads loads = new ServerLoads();
        ServerHealth health = new ServerHealth();
        PublishedState state =
                new PublishedState(platform.itemDecoder(), MISSED_REPORTS * settings.serverReportMillis());
        ServerPauses pauses = new ServerPauses();
        ColdServers coldServers = new ColdServers(settings.coldTolerance());
        GatewayMetrics metrics = new GatewayMetrics();
        BackendProtocol backendProtocol = platform.backendProtocol(isLeaving);
        PriorityDemand demand = new PriorityDemand();
        return new GatewayContext(
                loop,
                state,
                new SharedTokenLimits(settings.burstAllowance(), settings.isFirstStart()),
                new FairShareTracker(),
                new SharedRetryBudget(settings.retryRatio(), settings.retryExtra(), settings.retryWindowMillis()),
                loads,
                health,
                new ServerReach(),
                coldServers,
                new ServerLimits(settings.hostId(), coldServers),
                pauses,
                new ServerNotices(loop, state, pauses, coldServers, backendProtocol, log, metrics),
                new PlainDispatch(settings.dataCentre(), loads, health, random.split()),
                new EngineDispatch(loads, health, random.split()),
                demand,
                new KeptRoom(demand),
                new AnswerDurationEstimator(),
                new DrainAdmission(),
                new CrashSuspects(),
                settings.regions(),
                client,
                platform.callerProtocol(isLeaving),
                backendProtocol,
                log,
                metrics,
                random.split());
    }
}
