package org.guavathread.router;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.membership.Hello;
import org.guavathread.core.placement.ServiceSelector;
import org.guavathread.core.time.Clock;
import org.guavathread.router.admin.AdminPages;
import org.guavathread.router.admin.AdminServer;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.backend.HttpConfigService;
import org.guavathread.router.backend.HttpHostListSource;
import org.guavathread.router.backend.HttpWeightStore;
import org.guavathread.router.backend.Owner;
import org.guavathread.router.caller.CallerServer;
import org.guavathread.router.caller.PauseDetector;
import org.guavathread.router.caller.RequestIds;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.fleet.MembershipService;
import org.guavathread.router.flow.ActiveRequests;
import org.guavathread.router.flow.LanguageFlow;
import org.guavathread.router.flow.PlainFlow;
import org.guavathread.router.flow.RequestRouter;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpClientSettings;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.metrics.WorkspaceUsage;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.service.ClaimService;
import org.guavathread.router.service.ConfigurationService;
import org.guavathread.router.service.DrainService;
import org.guavathread.router.service.LimitService;
import org.guavathread.router.service.OrderService;
import org.guavathread.router.service.PeerMessages;
import org.guavathread.router.service.PeerRouter;
import org.guavathread.router.service.PlacementService;
import org.guavathread.router.service.RetryService;
import org.guavathread.router.settings.DaemonSettings;
import org.guavathread.router.supervisor.Supervisor;
import org.guavathread.wire.FrameCodec;
import org.tinylog.Logger;

/**
 * One daemon: all duties and servers of a host. Several can run in one process.
 *
 * <pre>{@code
 * Daemon daemon = new Daemon(settings, Clocks.monotonic(), code -> System.exit(code));
 * daemon.start();
 * daemon.drain();
 * }</pre>
 */
public final class Daemon {

    private static final int EXIT_INTERNAL = 70;

    private final Clock clock;
    private final HostId self;
    private final Supervisor root;
    private final FleetState fleet = new FleetState();
    private final RouterMetrics metrics = new RouterMetrics();
    private final WorkspaceUsage usage = new WorkspaceUsage();
    private final HttpClient http;
    private final BackendRegistry backends;
    private final ActiveRequests active;
    private final DrainService drain;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final LimitService limits;
    private final ClaimService claims;
    private final PlacementService placement;
    private final RetryService retries;
    private final OrderService orders;
    private final PeerNetwork network;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Terminates the process; a test can substitute another action. */
    @FunctionalInterface
    public interface Exit {

        /**
         * Ends the process.
         *
         * @param code the exit code
         */
        void exit(int code);
    }

    /**
     * Builds a daemon.
     *
     * @param settings its settings
     * @param clock source of the time
     * @param exit called when a duty has failed too often to be restarted
     */
    public Daemon(DaemonSettings settings, Clock clock, Exit exit) {
        this.clock = clock;
        self = settings.hostId();
        Incarnation incarnation = new Incarnation(clock.nowMillis());
        SecureRandom random = new SecureRandom();
        Runnable terminate = () -> exit.exit(EXIT_INTERNAL);
        root = new Supervisor("root", clock, terminate);
        Supervisor peerSupervisor = new Supervisor("peers", clock, terminate);
        Supervisor platformSupervisor = new Supervisor("platform", clock, terminate);
        Supervisor backendSupervisor = new Supervisor("backend-servers", clock, terminate);
        Supervisor callerSupervisor = new Supervisor("callers", clock, terminate);
        http = startedClient(clock);
        backends = new BackendRegistry(http, new Owner(self, incarnation));
        active = new ActiveRequests(KeyRing.of(fleet.now().sheet()), metrics, usage, clock);
        drain = new DrainService(active, settings.drainDeadlineMillis(), callerSupervisor, clock);

        PeerRouter router = new PeerRouter();
        network = peerSupervisor.add(new PeerNetwork(
                settings.listenPeers(),
                fleet,
                () -> new Hello(
                        self,
                        incarnation,
                        settings.dataCentre(),
                        fleet.now().sheet().version()),
                new FrameCodec(PeerMessages.registry()),
                router,
                clock));
        membership = new MembershipService(
                self, incarnation, fleet, network, random, drain::isDraining, peerSupervisor, clock);
        claims = new ClaimService(self, incarnation, fleet, network, random, peerSupervisor, clock);
        limits = new LimitService(self, fleet, network, random::nextLong, peerSupervisor, clock);
        retries = new RetryService(self, fleet, network, backends, clock);
        configuration = new ConfigurationService(
                self,
                fleet,
                network,
                new HttpConfigService(http, settings.configService()),
                new HttpHostListSource(http, settings.hostList()),
                membership,
                metrics,
                random,
                platformSupervisor,
                clock);
        placement = new PlacementService(
                self, incarnation, settings.dataCentre(), fleet, network, backends, metrics, backendSupervisor, clock);
        active.onEnd(retries::requestEnded);
        registerMessages(router);
        orders = new OrderService(
                self,
                fleet,
                backends,
                settings.weightStore().map(address -> new HttpWeightStore(http, address)),
                platformSupervisor,
                clock);
        fleet.onSheet(this::sheetChanged);

        addServers(callerSupervisor, settings, incarnation);
        root.add(peerSupervisor);
        root.add(platformSupervisor);
        root.add(backendSupervisor);
        root.add(callerSupervisor);
    }

    /**
     * Starts all duties and servers.
     *
     * @throws UncheckedIOException if an address cannot be listened on
     */
    public void start() {
        Logger.info("Starting host {}.", self);
        root.start();
    }

    /** Finishes the requests in progress, then stops. Returns when all has stopped, shortly after the deadline at the latest. */
    public void drain() {
        Logger.info("Draining host {}.", self);
        drain.drain(fleet.now().sheet().activeHosts().size() > 1);
        stop();
    }

    /** Stops immediately; requests in progress are aborted. */
    public void stop() {
        root.stop();
        http.close();
        stopped.countDown();
        Logger.info("Stopped host {}.", self);
    }

    /**
     * Waits until the daemon has stopped.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /**
     * Tells whether the daemon serves callers.
     *
     * @return true once a sheet is in force and the start phase is over
     */
    public boolean isReady() {
        return configuration.isServing() && !drain.isDraining();
    }

    /**
     * Tells whether this host may use all its rights; after the first start of a fleet this takes about 12 s.
     *
     * @return true while it holds the lease of a settled epoch
     */
    public boolean holdsSettledLease() {
        long now = clock.nowMillis();
        return fleet.now().epochs().holdsLease(now) && fleet.now().epochs().isSettled(now);
    }

    private void addServers(Supervisor callerSupervisor, DaemonSettings settings, Incarnation incarnation) {
        PauseDetector pauses = callerSupervisor.add(new PauseDetector(clock));
        callerSupervisor.add(new CallerServer(
                settings.listenCallers(),
                new RequestIds(self, incarnation),
                clock,
                pauses,
                requestRouter(settings)::route));
        AdminPages pages = new AdminPages(
                settings,
                incarnation,
                fleet,
                membership,
                configuration,
                placement,
                active,
                usage,
                drain,
                metrics,
                clock);
        pages.registerGauges(backlogs());
        callerSupervisor.add(new AdminServer(settings.listenAdmin(), metrics, pages.pages()));
    }

    private void registerMessages(PeerRouter router) {
        membership.connectConfiguration(configuration::serviceContact, configuration::peerReported);
        membership.register(router);
        claims.register(router);
        limits.register(router);
        retries.register(router);
        configuration.register(router);
        placement.register(router);
    }

    private RequestRouter requestRouter(DaemonSettings settings) {
        PlainFlow plain = new PlainFlow(
                fleet,
                limits,
                claims,
                retries,
                backends,
                new ServiceSelector(settings.dataCentre()),
                active,
                usage,
                clock);
        LanguageFlow language =
                new LanguageFlow(fleet, limits, placement, retries, backends, active, metrics, usage, clock);
        return new RequestRouter(
                self,
                settings.dataCentre(),
                fleet,
                active,
                drain::refusesNewWork,
                configuration::isIsolated,
                plain,
                language);
    }

    private Map<String, java.util.function.IntSupplier> backlogs() {
        return Map.of(
                "membership", membership::backlog,
                "config", configuration::backlog,
                "limits", limits::backlog,
                "claims", claims::backlog,
                "placement", placement::backlog,
                "orders", orders::backlog);
    }

    private void sheetChanged() {
        backends.apply(fleet.now().sheet());
        active.keysChanged(fleet.now().keys());
        usage.retain(fleet.now().sheet().workspaces().keySet());
    }

    private static HttpClient startedClient(Clock clock) {
        try {
            return HttpClient.start(HttpClientSettings.DEFAULTS, clock);
        } catch (IOException e) {
            throw new UncheckedIOException("The HTTP client cannot start: " + e.getMessage(), e);
        }
    }
}
