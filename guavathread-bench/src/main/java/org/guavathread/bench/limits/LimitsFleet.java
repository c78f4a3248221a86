package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.limit.BudgetRequest;
import org.guavathread.core.limit.LimitAction;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/** Simulates a fleet of hosts with one limit policy and counts how the requests of one workspace were decided. */
final class LimitsFleet {

    private static final long LEASE_RENEWAL_MILLIS = 1000;

    private final EventQueue events;
    private final FaultyNetwork network;
    private final EpochModel epochs;
    private final LimitPolicy.Factory factory;
    private final WorkspaceId workspaceId;
    private final SplittableRandom random;
    private final WindowMeter meter = new WindowMeter();
    private final Map<HostId, FleetHost> hosts = new LinkedHashMap<>();
    private final Map<RequestId, Submitted> undecided = new HashMap<>();
    private final List<Sheet> published = new ArrayList<>();
    private UnaryOperator<PeerMessage> messageInterceptor = UnaryOperator.identity();
    private long lastRequestNumber;
    private long admitted;
    private long refused;
    private long decidedTwice;

    private record Submitted(BudgetRequest request, HostId hostId, int runNumber, long unused, long runMillis) {}

    /** One host; everything but its id is lost when it is killed. */
    private static final class FleetHost {
        private final HostId id;
        private int runNumber;
        private boolean alive;
        private long pausedUntilMillis;
        private LimitPolicy policy;
        private Sheet sheet;
        private EpochModel.Epoch epoch;
        private long leaseDeadlineMillis;
        private long adoptedAtMillis;

        private FleetHost(HostId id) {
            this.id = id;
        }

        private EpochView view() {
            return EpochModel.view(epoch, leaseDeadlineMillis, adoptedAtMillis);
        }
    }

    LimitsFleet(
            EventQueue events,
            FaultyNetwork network,
            LimitPolicy.Factory factory,
            WorkspaceId workspaceId,
            SplittableRandom random) {
        this.events = events;
        this.network = network;
        this.epochs = new EpochModel();
        this.factory = factory;
        this.workspaceId = workspaceId;
        this.random = random;
    }

    /** Changes messages in transit, to build faulty variants of the protocol. */
    LimitsFleet interceptMessages(UnaryOperator<PeerMessage> interceptor) {
        messageInterceptor = interceptor;
        return this;
    }

    WindowMeter meter() {
        return meter;
    }

    long admitted() {
        return admitted;
    }

    long refused() {
        return refused;
    }

    long undecidedRequests() {
        return undecided.size();
    }

    long decidedTwice() {
        return decidedTwice;
    }

    /** Publishes the first sheet and starts all its hosts. */
    void start(Sheet sheet) {
        published.add(sheet);
        epochs.publish(sheet, 0);
        sheet.hosts().keySet().forEach(id -> {
            hosts.put(id, new FleetHost(id));
            restart(id, sheet);
        });
        renewLeases();
    }

    /** Publishes a sheet; each host receives it independently within the given time. */
    void publish(Sheet sheet, long maxLagMillis) {
        long now = events.nowMillis();
        published.add(sheet);
        epochs.publish(sheet, now + random.nextLong(maxLagMillis + 1));
        sheet.hosts().keySet().forEach(id -> hosts.computeIfAbsent(id, FleetHost::new));
        for (FleetHost host : hosts.values()) {
            events.at(now + random.nextLong(maxLagMillis + 1), () -> receiveSheet(host, host.runNumber, sheet));
        }
    }

    Sheet newestSheet() {
        return published.get(published.size() - 1);
    }

    private void receiveSheet(FleetHost host, int runNumber, Sheet sheet) {
        if (network.sideOf(host.id) != 0) {
            // A host that is cut off reaches neither the configuration service nor a peer that does.
            events.at(events.nowMillis() + LEASE_RENEWAL_MILLIS, () -> receiveSheet(host, runNumber, sheet));
            return;
        }
        if (!host.alive) {
            if (host.policy == null && sheet.hosts().containsKey(host.id)) {
                restart(host.id, sheet);
            }
            return;
        }
        whenRunning(host, runNumber, () -> {
            if (host.sheet == null || sheet.version().isNewerThan(host.sheet.version())) {
                adopt(host, sheet);
            }
        });
    }

    private void adopt(FleetHost host, Sheet sheet) {
        long now = events.nowMillis();
        EpochModel.Epoch epoch = epochs.epochOf(sheet);
        if (!epoch.equals(host.epoch)) {
            host.epoch = epoch;
            host.adoptedAtMillis = now;
            host.leaseDeadlineMillis = 0;
            renew(host);
        }
        host.sheet = sheet;
        host.policy.onSheet(sheet, host.view(), now);
        recordTerms();
    }

    private void recordTerms() {
        long rate = 0;
        long burst = 0;
        for (FleetHost host : hosts.values()) {
            Workspace workspace = host.alive ? host.sheet.workspaces().get(workspaceId) : null;
            if (workspace != null) {
                rate = Math.max(rate, workspace.ratePerSecond());
                burst = Math.max(burst, workspace.burst());
            }
        }
        meter.recordTerms(events.nowMillis(), rate, burst);
    }

    private void renewLeases() {
        hosts.values().stream()
                .filter(n -> n.alive && n.pausedUntilMillis <= events.nowMillis())
                .forEach(this::renew);
        events.at(events.nowMillis() + LEASE_RENEWAL_MILLIS, this::renewLeases);
    }

    private void renew(FleetHost host) {
        // Side 0 of a partition holds the majority of the witnesses.
        if (network.sideOf(host.id) == 0 && epochs.renews(host.epoch, events.nowMillis())) {
            host.leaseDeadlineMillis = events.nowMillis() + EpochModel.LEASE_MILLIS;
        }
    }

    void kill(HostId id) {
        FleetHost host = hosts.get(id);
        host.alive = false;
        host.runNumber++;
        undecided.values().removeIf(s -> s.hostId.equals(id));
        recordTerms();
    }

    /** Starts a host with empty memory and a sheet, which may be an old one. */
    void restart(HostId id, Sheet sheet) {
        FleetHost host = hosts.get(id);
        if (host.alive) {
            return;
        }
        host.alive = true;
        host.runNumber++;
        host.pausedUntilMillis = 0;
        host.epoch = null;
        host.policy = factory.create(id, random.nextLong(), events.nowMillis());
        host.sheet = sheet;
        adopt(host, sheet);
    }

    boolean isAlive(HostId id) {
        return hosts.get(id).alive;
    }

    void pause(HostId id, long untilMillis) {
        hosts.get(id).pausedUntilMillis = untilMillis;
    }

    List<Sheet> published() {
        return published;
    }

    /** Sends a request of the workspace to a host; the unused part of its tokens is returned when it ends. */
    void submit(HostId hostId, long tokens, RequestKind kind, long unused, long runMillis) {
        RequestId id = new RequestId("r" + ++lastRequestNumber);
        long deadline = events.nowMillis() + (kind == RequestKind.DEFERRABLE ? 20_000 : 5000);
        BudgetRequest request = new BudgetRequest(id, workspaceId, tokens, kind, deadline);
        FleetHost host = hosts.get(hostId);
        whenRunning(host, host.runNumber, () -> {
            undecided.put(id, new Submitted(request, hostId, host.runNumber, unused, runMillis));
            perform(host, host.policy.submit(request, host.view(), events.nowMillis()));
        });
    }

    /** Runs an event of a host now or when its pause ends; not at all if it was killed meanwhile. */
    private void whenRunning(FleetHost host, int runNumber, Runnable event) {
        if (!host.alive || host.runNumber != runNumber) {
            return;
        }
        if (events.nowMillis() < host.pausedUntilMillis) {
            events.at(host.pausedUntilMillis, () -> whenRunning(host, runNumber, event));
            return;
        }
        event.run();
    }

    private void perform(FleetHost host, List<LimitAction> actions) {
        for (LimitAction action : actions) {
            if (action instanceof LimitAction.Send send) {
                deliver(host, send);
            } else if (action instanceof LimitAction.Admit admit) {
                onAdmitted(host, undecided.remove(admit.request()));
            } else if (action instanceof LimitAction.Refuse refuse) {
                decidedTwice += undecided.remove(refuse.request()) == null ? 1 : 0;
                refused++;
            }
        }
        long wakeAt = host.policy.nextWakeAtMillis();
        if (wakeAt != Long.MAX_VALUE) {
            int runNumber = host.runNumber;
            events.at(wakeAt, () -> whenRunning(host, runNumber, () -> wake(host)));
        }
    }

    private void wake(FleetHost host) {
        if (host.policy.nextWakeAtMillis() <= events.nowMillis()) {
            perform(host, host.policy.onWake(host.view(), events.nowMillis()));
        }
    }

    private void deliver(FleetHost from, LimitAction.Send send) {
        FleetHost to = hosts.get(send.to());
        PeerMessage message = messageInterceptor.apply(send.message());
        network.send(
                from.id,
                to.id,
                () -> whenRunning(
                        to,
                        to.runNumber,
                        () -> perform(to, to.policy.onMessage(from.id, message, to.view(), events.nowMillis()))));
    }

    private void onAdmitted(FleetHost host, Submitted submitted) {
        if (submitted == null) {
            decidedTwice++;
            return;
        }
        admitted++;
        long now = events.nowMillis();
        Runnable refund = meter.recordAdmission(now, submitted.request.tokens(), submitted.unused);
        if (submitted.unused <= 0) {
            return;
        }
        events.at(
                now + submitted.runMillis,
                () -> whenRunning(host, submitted.runNumber, () -> {
                    refund.run();
                    RequestId id = submitted.request.id();
                    perform(host, host.policy.onEnd(id, submitted.unused, host.view(), events.nowMillis()));
                }));
    }
}
