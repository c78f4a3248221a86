package org.guavathread.router.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.EpochTracker;
import org.guavathread.core.membership.Heartbeat;
import org.guavathread.core.membership.HeartbeatAck;
import org.guavathread.core.membership.Peer;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.PeerStatus;
import org.guavathread.core.membership.PeerTable;
import org.guavathread.core.membership.ServiceContact;
import org.guavathread.core.membership.WitnessPing;
import org.guavathread.core.membership.WitnessReply;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.time.Clock;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.service.PeerRouter;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.Supervisor;

/** Duty {@code membership}: maintains heartbeats, host epochs and leases, and publishes the snapshot of the fleet. */
public final class MembershipService {

    private static final long TICK_MILLIS = 100;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final HostId self;
    private final Incarnation incarnation;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final RandomGenerator random;
    private final BooleanSupplier draining;
    private final Clock clock;
    private final Duty<State> duty;
    private volatile BiConsumer<HostId, PeerReport> onReport = (host, report) -> {};
    private volatile Supplier<Optional<ServiceContact>> serviceContact = Optional::empty;

    private final class State {
        private final PeerTable peers = new PeerTable(self, random);
        private final EpochTracker epochs = new EpochTracker(self, incarnation, clock.nowMillis());
    }

    /**
     * State of another host, as this host knows it.
     *
     * @param host its name
     * @param status for example {@code "alive"}
     * @param draining whether it is shutting down
     * @param sheetVersion the version of the sheet in force there; 0 if unknown
     * @param heardAtMillis when its last report was received, in milliseconds since the epoch; 0 if never
     */
    public record PeerRow(String host, String status, boolean draining, long sheetVersion, long heardAtMillis) {}

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param incarnation identifies the run of this process
     * @param fleet where the snapshot is published
     * @param network sends messages to other hosts
     * @param random source of randomness for the choice of peers
     * @param draining whether this host is shutting down
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public MembershipService(
            HostId self,
            Incarnation incarnation,
            FleetState fleet,
            PeerNetwork network,
            RandomGenerator random,
            BooleanSupplier draining,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.network = network;
        this.random = random;
        this.draining = draining;
        this.clock = clock;
        this.duty = supervisor.add(
                new Duty<>("membership", this::newState, supervisor, clock).every(TICK_MILLIS, this::tick));
    }

    /**
     * Registers the messages of this duty.
     *
     * @param router dispatches received messages
     */
    public void register(PeerRouter router) {
        router.on(
                Heartbeat.class,
                (from, m, reply) -> duty.offer(state -> {
                    report(state, from, m.report());
                    reply.accept(new HeartbeatAck(ownReport()));
                }));
        router.on(
                WitnessPing.class,
                (from, ping, reply) ->
                        duty.offer(state -> reply.accept(state.epochs.onPing(from, ping, clock.nowMillis()))));
    }

    /**
     * Puts a sheet in force.
     *
     * @param sheet the sheet; it must be newer than the one in force
     */
    public void sheetAccepted(Sheet sheet) {
        duty.offer(state -> {
            applySheet(state, sheet);
            fleet.sheetAccepted(sheet, state.epochs.view(clock.nowMillis()));
            publish(state, clock.nowMillis());
        });
    }

    /**
     * Connects heartbeats with the configuration duty.
     *
     * @param contact supplies the contact with the configuration service that heartbeats report
     * @param action receives the reports of peers; must not block
     */
    public void connectConfiguration(
            Supplier<Optional<ServiceContact>> contact, BiConsumer<HostId, PeerReport> action) {
        serviceContact = contact;
        onReport = action;
    }

    /**
     * Lists the other hosts.
     *
     * @return one row for each other host of the sheet
     */
    public CompletableFuture<List<PeerRow>> peers() {
        return duty.ask(state -> {
            List<PeerRow> rows = new ArrayList<>();
            for (HostId host : fleet.now().sheet().hosts().keySet()) {
                if (!host.equals(self)) {
                    rows.add(row(state, host));
                }
            }
            return rows;
        });
    }

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
     */
    public int backlog() {
        return duty.backlog();
    }

    private PeerRow row(State state, HostId host) {
        PeerStatus status = state.peers.status(host, clock.nowMillis());
        Peer peer = state.peers.peer(host).orElse(null);
        return new PeerRow(
                host.value(),
                status.name().toLowerCase(java.util.Locale.ROOT),
                peer != null && peer.report().draining(),
                peer == null ? 0 : peer.report().sheetVersion().value(),
                peer == null ? 0 : peer.receivedAtMillis());
    }

    private State newState() {
        State state = new State();
        FleetSnapshot now = fleet.now();
        if (now.hasSheet()) {
            applySheet(state, now.sheet());
        }
        return state;
    }

    private void applySheet(State state, Sheet sheet) {
        state.peers.onSheet(sheet);
        state.epochs.onSheet(sheet, clock.nowMillis());
        List<HostId> ranked = RendezvousHash.rank("partners:" + self, sheet.activeHosts(), h -> h.id().value()).stream()
                .map(Host::id)
                .filter(h -> !h.equals(self))
                .toList();
        state.peers.setPartners(ranked);
    }

    private void tick(State state, long nowMillis) {
        for (HostId host : state.peers.onTick(nowMillis)) {
            network.ask(host, new Heartbeat(ownReport()), nowMillis + ANSWER_TIMEOUT_MILLIS)
                    .thenAccept(reply -> {
                        if (reply instanceof HeartbeatAck ack) {
                            duty.offer(s -> report(s, host, ack.report()));
                        }
                    });
        }
        for (EpochTracker.PingTo ping : state.epochs.onTick(nowMillis)) {
            network.ask(ping.to(), ping.message(), nowMillis + ANSWER_TIMEOUT_MILLIS)
                    .thenAccept(reply -> {
                        if (reply instanceof WitnessReply answer) {
                            duty.offer(s -> {
                                s.epochs.onReply(ping.to(), answer, clock.nowMillis());
                                publish(s, clock.nowMillis());
                            });
                        }
                    });
        }
        publish(state, nowMillis);
    }

    private void report(State state, HostId from, PeerReport report) {
        state.peers.onReport(from, report, clock.nowMillis());
        onReport.accept(from, report);
    }

    private PeerReport ownReport() {
        SheetVersion version = fleet.now().sheet().version();
        return new PeerReport(incarnation, version, draining.getAsBoolean(), 0, serviceContact.get());
    }

    private void publish(State state, long nowMillis) {
        Set<HostId> suspect = new HashSet<>();
        Set<HostId> drainingHosts = new HashSet<>();
        Map<HostId, Incarnation> incarnations = new HashMap<>();
        for (HostId host : fleet.now().sheet().hosts().keySet()) {
            if (state.peers.status(host, nowMillis) == PeerStatus.SUSPECT) {
                suspect.add(host);
            }
            state.peers.peer(host).ifPresent(peer -> {
                incarnations.put(host, peer.report().incarnation());
                if (peer.report().draining()) {
                    drainingHosts.add(host);
                }
            });
        }
        if (draining.getAsBoolean()) {
            drainingHosts.add(self);
        }
        fleet.membershipChanged(
                state.epochs.view(nowMillis),
                suspect,
                drainingHosts,
                Collections.unmodifiableMap(incarnations),
                state.epochs.earlierWitnesses());
    }
}
