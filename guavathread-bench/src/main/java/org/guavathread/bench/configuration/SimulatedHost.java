package org.guavathread.bench.configuration;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.guavathread.core.config.Acceptance;
import org.guavathread.core.config.ConfigAction;
import org.guavathread.core.config.ConfigDistributor;
import org.guavathread.core.config.SheetChunk;
import org.guavathread.core.config.SheetOffer;
import org.guavathread.core.config.SheetRequest;
import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.EpochTracker;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.membership.Heartbeat;
import org.guavathread.core.membership.HeartbeatAck;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.PeerTable;
import org.guavathread.core.membership.WitnessPing;
import org.guavathread.core.membership.WitnessReply;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.Sheet;

/** One run of a host: the membership and configuration logic, connected as in the daemon. */
public final class SimulatedHost {

    private static final int TICK_MILLIS = 100;
    private static final int PARTNERS = 28;

    private final HostId id;
    private final FleetSimulator fleet;
    private final double clockRate;
    private final long clockOffsetMillis;
    private final Incarnation incarnation;
    private final PeerTable table;
    private final EpochTracker tracker;
    private final ConfigDistributor distributor;
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private boolean stopped;
    private boolean paused;
    private long inForceAtMillis;

    SimulatedHost(HostId id, FleetSimulator fleet, Collection<HostId> hostList, Random random, double maxClockDrift) {
        this.id = id;
        this.fleet = fleet;
        this.clockRate = 1 + maxClockDrift * (2 * random.nextDouble() - 1);
        this.clockOffsetMillis = 1_000_000 + random.nextInt(1_000_000);
        this.incarnation = new Incarnation(fleet.network().nowMillis());
        this.table = new PeerTable(id, new Random(random.nextLong()));
        this.tracker = new EpochTracker(id, incarnation, now());
        this.distributor = new ConfigDistributor(id, new Random(random.nextLong()), now()).hostList(hostList);
        fleet.network().after(random.nextInt(TICK_MILLIS), this::tick);
    }

    HostId id() {
        return id;
    }

    /** The host's own clock, which differs from those of other hosts in offset and rate. */
    long now() {
        return clockOffsetMillis + (long) (fleet.network().nowMillis() * clockRate);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        whenRunning(this::runTick);
        fleet.network().after(TICK_MILLIS, this::tick);
    }

    private void runTick() {
        run(distributor.onTick(now()));
        tracker.onTick(now()).forEach(ping -> fleet.send(id, ping.to(), ping.message()));
        table.onTick(now()).forEach(peer -> fleet.send(id, peer, new Heartbeat(report())));
    }

    private PeerReport report() {
        return new PeerReport(incarnation, version(), false, 0, distributor.serviceContact(now()));
    }

    private void run(List<ConfigAction> actions) {
        for (ConfigAction action : actions) {
            if (action instanceof ConfigAction.Send send) {
                fleet.send(id, send.to(), send.message());
            } else if (action instanceof ConfigAction.ReadService read) {
                fleet.service()
                        .call(id, read, answer -> whenRunning(() -> run(distributor.onServiceAnswer(answer, now()))));
            } else if (action instanceof ConfigAction.Report report
                    && report.acceptance() instanceof Acceptance.InForce accepted) {
                putInForce(accepted.sheet());
            }
        }
    }

    private void putInForce(Sheet sheet) {
        inForceAtMillis = fleet.network().nowMillis();
        table.onSheet(sheet);
        table.setPartners(RendezvousHash.rank("partners:" + id, sheet.hosts().keySet(), HostId::value).stream()
                .filter(h -> !h.equals(id))
                .limit(PARTNERS)
                .toList());
        tracker.onSheet(sheet, now());
        fleet.recordInForce(id, sheet.version());
    }

    void deliver(HostId from, PeerMessage message) {
        whenRunning(() -> receive(from, message));
    }

    private void receive(HostId from, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            table.onReport(from, heartbeat.report(), now());
            fleet.send(id, from, new HeartbeatAck(report()));
            run(distributor.onPeerReport(from, heartbeat.report(), now()));
        } else if (message instanceof HeartbeatAck ack) {
            table.onReport(from, ack.report(), now());
            run(distributor.onPeerReport(from, ack.report(), now()));
        } else if (message instanceof WitnessPing ping) {
            fleet.send(id, from, tracker.onPing(from, ping, now()));
            run(distributor.onPeerVersion(from, ping.sheetVersion(), now()));
        } else if (message instanceof WitnessReply reply) {
            tracker.onReply(from, reply, now());
            run(distributor.onPeerVersion(from, reply.sheetVersion(), now()));
        } else if (message instanceof SheetOffer offer) {
            run(distributor.onOffer(from, offer, now()));
        } else if (message instanceof SheetRequest request) {
            fleet.send(id, from, distributor.onRequest(request));
        } else if (message instanceof SheetChunk chunk) {
            run(distributor.onChunk(from, chunk, now()));
        }
    }

    /** Buffers the task while the process is paused. */
    private void whenRunning(Runnable task) {
        if (stopped) {
            return;
        }
        if (paused) {
            delayed.add(task);
        } else {
            task.run();
        }
    }

    void stop() {
        stopped = true;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!delayed.isEmpty() && !paused) {
            delayed.poll().run();
        }
    }

    boolean isPaused() {
        return paused;
    }

    SheetVersion version() {
        return distributor.acceptance().version();
    }

    boolean isServing() {
        return distributor.isServing();
    }

    Optional<Sheet> sheet() {
        return distributor.acceptance().inForce();
    }

    long inForceAtMillis() {
        return inForceAtMillis;
    }

    EpochView view() {
        return tracker.view(now());
    }
}
