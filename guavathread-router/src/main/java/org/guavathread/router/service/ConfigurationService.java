package org.guavathread.router.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import org.guavathread.core.config.Acceptance;
import org.guavathread.core.config.AuditRecord;
import org.guavathread.core.config.ConfigAction;
import org.guavathread.core.config.ConfigDistributor;
import org.guavathread.core.config.ServiceAnswer;
import org.guavathread.core.config.SheetChunk;
import org.guavathread.core.config.SheetOffer;
import org.guavathread.core.config.SheetRequest;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.ServiceContact;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SheetManifest;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.ConfigService;
import org.guavathread.router.backend.ConfigValue;
import org.guavathread.router.backend.HostListSource;
import org.guavathread.router.backend.ListedHost;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.fleet.MembershipService;
import org.guavathread.router.log.Logs;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;
import org.tinylog.Logger;

/** Duty {@code config}: reads sheets from the configuration service and exchanges them with peers. */
public final class ConfigurationService {

    /** Name of the value that holds the sheet or its manifest. */
    public static final String SHEET_NAME = "sheet";

    private static final long TICK_MILLIS = 100;
    private static final long CALL_MARGIN_MILLIS = 2_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final long HOST_LIST_EVERY_MILLIS = 1_000;

    private final HostId self;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final ConfigService service;
    private final HostListSource hostList;
    private final MembershipService membership;
    private final RouterMetrics metrics;
    private final RandomGenerator random;
    private final Clock clock;
    private final Duty<State> duty;
    private volatile Optional<ServiceContact> contact = Optional.empty();
    private volatile boolean isolated;
    private volatile boolean serving;
    private volatile long acceptedAtMillis;

    private final class State {
        private final ConfigDistributor distributor = new ConfigDistributor(self, random, clock.nowMillis());
        private long hostListAtMillis;
    }

    /**
     * State of the configuration, as the audit page shows it.
     *
     * @param version the version in force
     * @param digest digest of the sheet in force
     * @param acceptedAtMillis when it came into force on this host
     * @param refused the last refused sheet, if none of its version or a newer one came into force since
     * @param audit the latest changes, newest first
     */
    public record Report(
            long version,
            String digest,
            long acceptedAtMillis,
            Optional<Acceptance.Refused> refused,
            List<AuditRecord> audit) {}

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param fleet the current view of the fleet
     * @param network sends messages to other hosts
     * @param service the configuration service
     * @param hostList the platform's host list, used until the first sheet is in force
     * @param membership receives accepted sheets
     * @param metrics counts accepted and refused sheets
     * @param random source of jitter
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public ConfigurationService(
            HostId self,
            FleetState fleet,
            PeerNetwork network,
            ConfigService service,
            HostListSource hostList,
            MembershipService membership,
            RouterMetrics metrics,
            RandomGenerator random,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.fleet = fleet;
        this.network = network;
        this.service = service;
        this.hostList = hostList;
        this.membership = membership;
        this.metrics = metrics;
        this.random = random;
        this.clock = clock;
        this.duty = supervisor.add(new Duty<>("config", State::new, supervisor, clock).every(TICK_MILLIS, this::tick));
    }

    /**
     * Registers the messages of this duty.
     *
     * @param router dispatches received messages
     */
    public void register(PeerRouter router) {
        router.on(
                SheetOffer.class,
                (from, offer, reply) ->
                        duty.offer(state -> perform(state, state.distributor.onOffer(from, offer, clock.nowMillis()))));
        router.on(
                SheetRequest.class,
                (from, request, reply) -> duty.offer(state -> reply.accept(state.distributor.onRequest(request))));
    }

    /**
     * Processes the report in a peer's heartbeat.
     *
     * @param from the peer
     * @param report its report
     */
    public void peerReported(HostId from, PeerReport report) {
        duty.offer(state -> perform(state, state.distributor.onPeerReport(from, report, clock.nowMillis())));
    }

    /**
     * Gives the contact with the configuration service that heartbeats report.
     *
     * @return the most recent successful read by any host, as far as this host knows
     */
    public Optional<ServiceContact> serviceContact() {
        return contact;
    }

    /**
     * Tells whether this host must refuse requests that need an API key.
     *
     * @return true if neither the configuration service nor any peer has answered for 10 s
     */
    public boolean isIsolated() {
        return isolated;
    }

    /**
     * Tells whether the start phase is over and a sheet is in force.
     *
     * @return true once callers may be served
     */
    public boolean isServing() {
        return serving && fleet.now().hasSheet();
    }

    /**
     * Reads the state of the configuration.
     *
     * @return the report
     */
    public CompletableFuture<Report> report() {
        return duty.ask(state -> new Report(
                state.distributor.acceptance().version().value(),
                state.distributor.acceptance().digest(),
                acceptedAtMillis,
                state.distributor.acceptance().lastRefused(),
                state.distributor.acceptance().audit()));
    }

    /**
     * Gives when the sheet in force was accepted here.
     *
     * @return milliseconds since the epoch, 0 before the first sheet
     */
    public long acceptedAtMillis() {
        return acceptedAtMillis;
    }

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
     */
    public int backlog() {
        return duty.backlog();
    }

    private void tick(State state, long nowMillis) {
        if (!fleet.now().hasSheet() && nowMillis >= state.hostListAtMillis) {
            state.hostListAtMillis = nowMillis + HOST_LIST_EVERY_MILLIS;
            readHostList();
        }
        perform(state, state.distributor.onTick(nowMillis));
        contact = state.distributor.serviceContact(nowMillis);
        isolated = state.distributor.isIsolated(nowMillis);
        serving = state.distributor.isServing();
    }

    private void readHostList() {
        hostList.hosts(clock.nowMillis() + ANSWER_TIMEOUT_MILLIS).thenAccept(hosts -> {
            fleet.bootstrapHosts(hosts);
            List<HostId> others = hosts.stream()
                    .map(ListedHost::id)
                    .filter(h -> !h.equals(self))
                    .toList();
            duty.offer(state -> state.distributor.hostList(others));
        });
    }

    private void perform(State state, List<ConfigAction> actions) {
        for (ConfigAction action : actions) {
            if (action instanceof ConfigAction.ReadService read) {
                readService(read);
            } else if (action instanceof ConfigAction.ReadParts read) {
                readParts(read.manifest());
            } else if (action instanceof ConfigAction.Send send) {
                send(send.to(), send.message());
            } else if (action instanceof ConfigAction.Report report) {
                report(report.acceptance());
            }
        }
    }

    private void readService(ConfigAction.ReadService read) {
        long deadlineMillis = clock.nowMillis() + read.waitMillis() + CALL_MARGIN_MILLIS;
        CompletableFuture<Optional<ConfigValue>> call = read.waitMillis() == 0
                ? service.read(SHEET_NAME, deadlineMillis)
                : service.watch(SHEET_NAME, read.after().value(), read.waitMillis(), deadlineMillis);
        call.whenComplete((value, failure) -> {
            ServiceAnswer answer = failure != null
                    ? new ServiceAnswer.Failed()
                    : value.<ServiceAnswer>map(v -> new ServiceAnswer.Value(v.body()))
                            .orElseGet(ServiceAnswer.Unchanged::new);
            duty.offer(state -> perform(state, state.distributor.onServiceAnswer(answer, clock.nowMillis())));
        });
    }

    private void readParts(SheetManifest manifest) {
        long deadlineMillis = clock.nowMillis() + CALL_MARGIN_MILLIS;
        Map<String, CompletableFuture<Optional<ConfigValue>>> calls = new HashMap<>();
        manifest.parts().forEach(name -> calls.put(name, service.read(name, deadlineMillis)));
        CompletableFuture.allOf(calls.values().toArray(CompletableFuture[]::new))
                .whenComplete((done, failure) -> {
                    Map<String, byte[]> documents = new HashMap<>();
                    calls.forEach((name, call) -> {
                        if (!call.isCompletedExceptionally()) {
                            call.join().ifPresent(value -> documents.put(name, value.body()));
                        }
                    });
                    duty.offer(state ->
                            perform(state, state.distributor.onServiceParts(manifest, documents, clock.nowMillis())));
                });
    }

    private void send(HostId to, PeerMessage message) {
        if (!(message instanceof SheetRequest)) {
            network.send(to, message);
            return;
        }
        network.ask(to, message, clock.nowMillis() + ANSWER_TIMEOUT_MILLIS).thenAccept(reply -> {
            if (reply instanceof SheetChunk chunk) {
                duty.offer(state -> perform(state, state.distributor.onChunk(to, chunk, clock.nowMillis())));
            }
        });
    }

    private void report(Acceptance acceptance) {
        if (acceptance instanceof Acceptance.InForce accepted) {
            acceptedAtMillis = accepted.audit().atMillis();
            metrics.countSheetChange();
            AuditRecord audit = accepted.audit();
            Logger.tag(Logs.AUDIT_TAG)
                    .info(
                            "Sheet {} replaces {}, from {}, digest {}, changes {}",
                            audit.version(),
                            audit.previous(),
                            audit.source(),
                            audit.digest(),
                            audit.changes());
            membership.sheetAccepted(accepted.sheet());
        } else if (acceptance instanceof Acceptance.Refused refused) {
            metrics.countSheetRejection();
            Logger.tag(Logs.AUDIT_TAG)
                    .error("Sheet {} from {} refused: {}", refused.version(), refused.source(), refused.faults());
        } else if (acceptance instanceof Acceptance.Conflict conflict) {
            metrics.countSheetRejection();
            Logger.tag(Logs.AUDIT_TAG)
                    .error(
                            "Sheet {} from {} refused: its digest {} differs from {} in force; publish a new version.",
                            conflict.version(),
                            conflict.source(),
                            conflict.digest(),
                            conflict.digestInForce());
        }
    }
}
