package org.guavathread.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.PermitTerms;
import org.guavathread.core.dispatch.RolePlan;
import org.guavathread.core.gossip.EntrySelection;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.publish.StartSynchronisation;
import org.guavathread.core.publish.StateChange;
import org.guavathread.core.publish.StoreFollower;
import org.guavathread.core.registry.DepartureNotice;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.share.SpendingNotice;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.stream.StreamOriginNotice;
import org.guavathread.core.time.Clock;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.gateway.call.ServerRelay;
import org.guavathread.gateway.fleet.DepartureCheck;
import org.guavathread.gateway.fleet.FleetRelay;
import org.guavathread.gateway.fleet.GossipReporter;
import org.guavathread.gateway.fleet.GossipSocket;
import org.guavathread.gateway.fleet.OriginDirectory;
import org.guavathread.gateway.fleet.OriginRelay;
import org.guavathread.gateway.fleet.PeerServer;
import org.guavathread.gateway.fleet.PermitClient;
import org.guavathread.gateway.fleet.PermitRelay;
import org.guavathread.gateway.fleet.ReachMonitor;
import org.guavathread.gateway.fleet.RelayHosts;
import org.guavathread.gateway.fleet.RoleCoordinator;
import org.guavathread.gateway.fleet.StateRelay;
import org.guavathread.gateway.fleet.StateSynchroniser;
import org.guavathread.gateway.fleet.StoreConfirmation;
import org.guavathread.gateway.fleet.StoreHistoryReader;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.gateway.protocol.StoreClient;
import org.guavathread.gateway.settings.GatewaySettings;
import org.guavathread.gateway.warmup.WarmUp;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.caller.CallerServer;
import org.guavathread.router.caller.PauseDetector;
import org.guavathread.router.caller.RequestIds;
import org.guavathread.router.page.PageServer;
import org.guavathread.router.supervisor.Supervised;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/**
 * The daemon. Creates the event loop, the servers and the sockets, and runs them under one supervisor.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(settings, platform, clock, System.out, () -> Runtime.getRuntime().halt(70));
 * gateway.start();
 * }</pre>
 */
public final class Gateway implements Supervised {

    /** Interval at which store calls, readiness, engine roles and entry answers are checked and updated. */
    private static final long TICK_MILLIS = 100;

    /** Maximum head of a request of another host, which contains that of a caller. */
    private static final int MAX_PEER_HEAD_BYTES = 64 * 1024;

    private static final int PEER_HEAD_MILLIS = 3_000;
    private static final int PEER_IDLE_MILLIS = 15_000;

    /** Maximum duration of the warm-up of a host that starts again. */
    private static final long WARM_UP_MILLIS = 3_000;

    /** Maximum duration of the warm-up when the fleet starts for the first time, before it has callers. */
    private static final long FIRST_WARM_UP_MILLIS = 6_000;

    private static final long LOOP_CALL_TIMEOUT_MILLIS = 500;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final GatewaySettings settings;
    private final Clock clock;
    private final Supervisor supervisor;
    private final GatewayContext context;
    private final FleetView fleet;
    private final EntryAnswers entry;
    private final GossipReporter reporter;
    private final OriginDirectory origins;
    private final RequestRouter router;
    private final ServerRelay relay;
    private final ReachMonitor reach;
    private final StateSynchroniser stateSynchroniser;
    private final RoleCoordinator roleCoordinator;
    private final DepartureCheck departureCheck;
    private final Servers servers;
    private final WarmUp warmUp;
    private final long startedAtMillis;
    private volatile boolean leaving;

    /** Current limits for callers' connections; read by network threads. */
    private volatile CallerBounds callerBounds = RoutingTable.DEFAULT_BOUNDS;

    /**
     * Creates the daemon.
     *
     * @param settings settings that have passed {@link GatewaySettings#check()}
     * @param platform the platform's protocols and store
     * @param clock source of the time
     * @param out receives the decision log
     * @param onGiveUp runs when a supervised component has failed too often
     * @throws IOException if the operating system provides no selector
     */
    public Gateway(GatewaySettings settings, Platform platform, Clock clock, PrintStream out, Runnable onGiveUp)
            throws IOException {
        this.settings = settings;
        this.clock = clock;
        this.startedAtMillis = clock.nowMillis();
        this.supervisor = new Supervisor("gateway", clock, onGiveUp);
        SplittableRandom random =
                new SplittableRandom(startedAtMillis ^ settings.hostId().value().hashCode());
        ContextFactory contexts = new ContextFactory(settings, platform, clock, () -> leaving);
        this.context = contexts.create(
                new EventLoop("decisions", supervisor, clock),
                contexts.startClient(),
                new DecisionLog(settings.hostId().value(), clock, out),
                random);
        // Its decisions concern nobody: they are neither written nor counted with those of this host.
        GatewayContext ofWarmUp = contexts.create(
                context.loop(),
                context.client(),
                new DecisionLog(settings.hostId().value(), clock, new PrintStream(OutputStream.nullOutputStream())),
                random);
        this.warmUp = new WarmUp(
                settings.hostId(),
                ofWarmUp,
                platform.sampleTraffic(),
                settings.warmUpRequests(),
                settings.warmUpAnswerMillis(),
                settings.isFirstStart() ? FIRST_WARM_UP_MILLIS : WARM_UP_MILLIS,
                context.log(),
                clock);
        this.fleet = new FleetView(settings.hostId(), startedAtMillis, settings.seeds(), random.split());
        this.entry = new EntryAnswers(
                new EntryAnswers.Named(
                        new EntrySelection.Candidate(settings.hostId(), settings.listenCallers(), settings.capacity()),
                        settings.dataCentre()),
                settings.regions());
        GossipSocket[] socket = new GossipSocket[1];
        socket[0] = new GossipSocket(settings.listenPeers(), this::messageReceived, context.metrics());
        GossipReporter.Identity identity = new GossipReporter.Identity(
                settings.hostId(),
                startedAtMillis,
                settings.dataCentre(),
                settings.listenCallers(),
                settings.listenPeers(),
                settings.capacity());
        this.reporter = new GossipReporter(identity, context, fleet, socket[0]);
        StoreClient store = platform.storeClient(context.client(), settings);
        StoreConfirmation storeWord = new StoreConfirmation(context, store, this::stateConfirmed);
        this.origins = new OriginDirectory(
                context,
                fleet,
                socket[0],
                new StoreHistoryReader(context, store, settings.storeHistoryMillis()),
                storeWord,
                reporter::decidesFor);
        this.router = new RequestRouter(
                context,
                reporter,
                new PermitClient(settings.hostId(), context, fleet),
                origins,
                new RelayHosts(context, fleet),
                storeWord);
        this.relay = new ServerRelay(context);
        this.reach = new ReachMonitor(context);
        this.stateSynchroniser = new StateSynchroniser(
                context,
                store,
                fleet,
                new StoreFollower(settings.applyMillis()),
                new StartSynchronisation(settings.listenPeers(), settings.isFirstStart(), startedAtMillis),
                this::step);
        this.roleCoordinator =
                new RoleCoordinator(settings.hostId(), context, fleet, new RolePlan(settings.prefillShare()));
        this.departureCheck =
                new DepartureCheck(context, changes -> stateSynchroniser.handleChanges(changes, "departure check"));
        supervisor.add(context.log());
        supervisor.add(context.loop());
        supervisor.add(socket[0]);
        this.servers = addServers(platform);
        supervisor.add(warmUp);
    }

    /** The servers whose requests need the event loop. */
    private record Servers(CallerServer callers, CallerServer peers) {}

    private Servers addServers(Platform platform) {
        PauseDetector pauses = supervisor.add(new PauseDetector(clock));
        RequestIds ids = new RequestIds(settings.hostId(), new Incarnation(startedAtMillis));
        CallerServer callers =
                supervisor.add(new CallerServer(settings.listenCallers(), ids, clock, pauses, this::accept)
                        .bounds(() -> callerBounds));
        supervisor.add(new PageServer("ready", settings.listenReady(), platform.readyPages(entry)));
        supervisor.add(new PageServer(
                "entry", settings.listenEntry(), platform.entryPages(entry, settings.entryLifetimeSeconds())));
        PeerServer pages = new PeerServer(
                context.loop(),
                Map.of(
                        StateRelay.PATH,
                        query ->
                                new StateRelay().encode(context.state(), StateRelay.Known.of(query), clock.nowMillis()),
                        FleetRelay.PATH,
                        query -> reporter.encodeAllReports(),
                        PermitRelay.PATH,
                        this::permitPage,
                        OriginRelay.PATH,
                        query -> origins.answer(OriginRelay.attemptOf(query))),
                relay::accept);
        CallerServer peers = supervisor.add(new CallerServer(settings.listenPeers(), ids, clock, pauses, pages::accept)
                .named("peers")
                .bounds(() -> new CallerBounds(
                        MAX_PEER_HEAD_BYTES, callerBounds.maxBodyBytes(), PEER_HEAD_MILLIS, PEER_IDLE_MILLIS)));
        supervisor.add(new PageServer(
                "metrics",
                settings.listenMetrics(),
                Map.of(
                        "/metrics",
                        query -> new PageServer.Page(
                                200, "text/plain", context.metrics().text()))));
        addGauges();
        return new Servers(callers, peers);
    }

    private void addGauges() {
        context.metrics().gauge("guavathread_requests_in_progress", "Requests without an end.", this::inProgress);
        context.metrics()
                .gauge(
                        "guavathread_crash_suspects",
                        "Request traits, such as prompt parts, for which requests are refused.",
                        () -> callOnLoop(() -> context.crashSuspects().blamedCount(), 0));
        context.metrics()
                .gauge(
                        "guavathread_limited_servers",
                        "Backend servers that state a limit on their requests.",
                        () -> callOnLoop(() -> context.serverLimits().size(), 0));
        context.metrics()
                .gauge(
                        "guavathread_cold_servers",
                        "Backend servers that are cold.",
                        () -> callOnLoop(() -> context.coldServers().size(clock.nowMillis()), 0));
        context.metrics()
                .gauge(
                        "guavathread_paused_servers",
                        "Backend servers in a pause for which they asked this host.",
                        () -> callOnLoop(() -> context.pauses().size(clock.nowMillis()), 0));
        context.metrics()
                .gauge(
                        "guavathread_evacuated_data_centres",
                        "Data centres that the operator has evacuated.",
                        () -> callOnLoop(
                                () -> context.state()
                                        .registry()
                                        .evacuated()
                                        .inForce()
                                        .size(),
                                0));
        context.metrics()
                .gauge(
                        "guavathread_evacuation_seconds",
                        "Time since this host learned of the oldest evacuation in force; 0 if there is none.",
                        () -> callOnLoop(this::evacuationMillis, 0L) / MILLIS_PER_SECOND);
        context.metrics()
                .gauge(
                        "guavathread_store_epoch",
                        "The store's epoch that this host has applied; it grows when the store returns from an older copy.",
                        () -> callOnLoop(() -> context.state().position().epoch(), 0L));
        context.metrics()
                .gauge(
                        "guavathread_store_revision",
                        "The store's revision within that epoch that this host has applied.",
                        () -> callOnLoop(() -> context.state().position().revision(), 0L));
        context.metrics()
                .gauge(
                        "guavathread_unreadable_items",
                        "Items of the store that could not be decoded, since the start.",
                        () -> callOnLoop(() -> context.state().unreadable(), 0L));
    }

    private long evacuationMillis() {
        long now = clock.nowMillis();
        return context.state().registry().evacuated().inForce().stream()
                .mapToLong(e -> now - e.sinceMillis())
                .max()
                .orElse(0);
    }

    private void accept(CallerExchange exchange) {
        warmUp.callerArrived();
        router.accept(exchange);
    }

    /** Returns the requests without an end, also those that this host relays for another one. */
    private int inProgress() {
        return callOnLoop(() -> router.inProgress() + relay.inProgress(), 0);
    }

    private byte[] permitPage(PageServer.Query query) {
        BackendServerId server = new BackendServerId(query.parameter(PermitRelay.SERVER));
        PermitTerms terms = PermitRelay.termsOf(query);
        return new PermitRelay()
                .encode(new PermitRelay.Grant(context.serverLimits().grant(server, terms, clock.nowMillis())));
    }

    private void stateConfirmed(List<StateChange> changes) {
        stateSynchroniser.handleChanges(changes, "store confirmation");
    }

    private <T> T callOnLoop(Supplier<T> query, T fallback) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        context.loop().execute(() -> answer.complete(query.get()));
        try {
            return answer.get(LOOP_CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fallback;
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("The event loop did not answer within {} ms.", LOOP_CALL_TIMEOUT_MILLIS);
            return fallback;
        }
    }

    private void messageReceived(PeerMessage message) {
        context.loop().execute(() -> {
            if (message instanceof GossipPacket packet) {
                reporter.receive(packet);
            } else if (message instanceof StreamOriginNotice notice) {
                origins.receive(notice);
            } else if (message instanceof DepartureNotice notice) {
                stateSynchroniser.receive(notice);
            } else if (message instanceof SpendingNotice notice) {
                reporter.receive(notice);
            }
        });
    }

    /**
     * Sends this host's report to an address, so that both hosts discover each other without a seed.
     *
     * @param peer the other host's peer address
     */
    public void announceTo(SocketAddressText peer) {
        context.loop().execute(() -> reporter.announceTo(peer));
    }

    @Override
    public String name() {
        return "gateway";
    }

    @Override
    public void start() {
        supervisor.start();
        context.log()
                .entry("start")
                .with("dataCentre", settings.dataCentre())
                .with("callers", settings.listenCallers())
                .with("peers", settings.listenPeers())
                .with("store", settings.store())
                .with("seeds", settings.seeds())
                .with("firstStart", settings.isFirstStart())
                .write();
        context.loop().complete(() -> {
            reporter.start(router);
            tick();
        });
    }

    private void tick() {
        step();
        context.loop().schedule(clock.nowMillis() + TICK_MILLIS, this::tick);
    }

    private void step() {
        stateSynchroniser.step();
        context.coldServers().hearsOfChanges(context.state().registry().isSourceReachable());
        context.state().table().ifPresent(table -> callerBounds = table.bounds());
        boolean knowsState = context.state().table().isPresent();
        if (reporter.phase() == HostPhase.STARTING && knowsState && !waitsForWarmUp()) {
            reporter.phase(HostPhase.READY);
            if (!settings.isFirstStart()) {
                origins.hostStarted();
            }
        }
        if (settings.prefillShare() >= 0) {
            roleCoordinator.step(reporter.phase());
        }
        departureCheck.step();
        reach.step();
        reporter.cutOff(reach.isCutOff());
        entry.update(fleet, reporter.phase(), reach.isCutOff(), context.state().table(), clock.nowMillis());
    }

    /** While few hosts serve, their callers are better off with one more that is slow at first. */
    private boolean waitsForWarmUp() {
        return !warmUp.isOver() && (settings.isFirstStart() || fleet.mostServe(clock.nowMillis()));
    }

    /**
     * Drains the daemon; returns when all requests have been answered or the drain time is up. The process should end
     * then: stopping each thread in order, as {@link #stop()} does, can outlast the forced end on a busy machine.
     */
    public void drain() {
        drain(clock.nowMillis() + settings.drainMillis());
    }

    /**
     * Drains the daemon.
     *
     * @param forcedEndMillis time at which the process is killed
     */
    public void drain(long forcedEndMillis) {
        leaving = true;
        new PlannedStop(context, clock, servers.callers(), servers.peers(), router).run(forcedEndMillis, () -> {
            reporter.phase(HostPhase.LEAVING);
            relay.stopAccepting();
            step();
        });
        context.log().stop();
    }

    @Override
    public void stop() {
        supervisor.stop();
        context.client().close();
    }
}
