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

/** Duty {@code config}: reads the configuration service, hears from peers and passes sheets on. */
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
        private final ConfigDistributor spread = new ConfigDistributor(self, random, clock.nowMillis());
        private long hostListAtMillis;
    }

    /**
     * What operators see of the configuration.
     *
     * @param version the version in force
     * @param digest digest of the sheet in force
     * @param acceptedAtMillis when it came into force here
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
     * @param fleet what is known about the fleet
     * @param network the way to other hosts
     * @param service the configuration service
     * @param hostList the platform's list of hosts, used until the first sheet is in force
     * @param membership takes accepted sheets
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
     * @param router passes messages on
     */
    public void register(PeerRouter router) {
        router.on(
                SheetOffer.class,
                (from, offer, reply) ->
                        duty.offer(state -> perform(state, state.spread.onOffer(from, offer, clock.nowMillis()))));
        router.on(
                SheetRequest.class,
                (from, request, reply) -> duty.offer(state -> reply.accept(state.spread.onRequest(request))));
    }

    /**
     * Takes what a peer says in a heartbeat.
     *
     * @param from the peer
     * @param report its report
     */
    public void peerReported(HostId from, PeerReport report) {
        duty.offer(state -> perform(state, state.spread.onPeerReport(from, report, clock.nowMillis())));
    }

    /**
     * Gives what heartbeats say about the configuration service.
     *
     * @return the most recent read that this host knows of
     */
    public Optional<ServiceContact> serviceContact() {
        return contact;
    }

    /**
     * Tells whether this host must refuse requests that need an API key.
     *
     * @return true if it hears neither the configuration service nor any peer
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
     * Reads what operators see.
     *
     * @return the report
     */
    public CompletableFuture<Report> report() {
        return duty.ask(state -> new Report(
                state.spread.acceptance().version().value(),
                state.spread.acceptance().digest(),
                acceptedAtMillis,
                state.spread.acceptance().lastRefused(),
                state.spread.acceptance().audit()));
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
     * Gives how many tasks wait for this duty.
     *
     * @return the backlog of its inbox
     */
    public int backlog() {
        return duty.backlog();
    }

    private void tick(State state, long nowMillis) {
        if (!fleet.now().hasSheet() && nowMillis >= state.hostListAtMillis) {
            state.hostListAtMillis = nowMillis + HOST_LIST_EVERY_MILLIS;
            readHostList();
        }
        perform(state, state.spread.onTick(nowMillis));
        contact = state.spread.serviceContact(nowMillis);
        isolated = state.spread.isIsolated(nowMillis);
        serving = state.spread.isServing();
    }

    private void readHostList() {
        hostList.hosts(clock.nowMillis() + ANSWER_TIMEOUT_MILLIS).thenAccept(hosts -> {
            fleet.bootstrapHosts(hosts);
            List<HostId> others = hosts.stream()
                    .map(ListedHost::id)
                    .filter(h -> !h.equals(self))
                    .toList();
            duty.offer(state -> state.spread.hostList(others));
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
            duty.offer(state -> perform(state, state.spread.onServiceAnswer(answer, clock.nowMillis())));
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
                            perform(state, state.spread.onServiceParts(manifest, documents, clock.nowMillis())));
                });
    }

    private void send(HostId to, PeerMessage message) {
        if (!(message instanceof SheetRequest)) {
            network.send(to, message);
            return;
        }
        network.ask(to, message, clock.nowMillis() + ANSWER_TIMEOUT_MILLIS).thenAccept(reply -> {
            if (reply instanceof SheetChunk chunk) {
                duty.offer(state -> perform(state, state.spread.onChunk(to, chunk, clock.nowMillis())));
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
