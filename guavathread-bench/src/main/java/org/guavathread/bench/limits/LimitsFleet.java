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
    private final WorkspaceId watched;
    private final SplittableRandom random;
    private final WindowMeter meter = new WindowMeter();
    private final Map<HostId, Node> nodes = new LinkedHashMap<>();
    private final Map<RequestId, Submitted> undecided = new HashMap<>();
    private final List<Sheet> published = new ArrayList<>();
    private UnaryOperator<PeerMessage> onWire = UnaryOperator.identity();
    private long lastRequest;
    private long admitted;
    private long refused;
    private long decidedTwice;

    private record Submitted(BudgetRequest request, HostId host, int run, long unused, long runMillis) {}

    /** One host; everything but its id is lost when it is killed. */
    private static final class Node {
        private final HostId id;
        private int run;
        private boolean alive;
        private long pausedUntilMillis;
        private LimitPolicy policy;
        private Sheet sheet;
        private EpochModel.Epoch epoch;
        private long leaseDeadlineMillis;
        private long adoptedAtMillis;

        private Node(HostId id) {
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
            WorkspaceId watched,
            SplittableRandom random) {
        this.events = events;
        this.network = network;
        this.epochs = new EpochModel();
        this.factory = factory;
        this.watched = watched;
        this.random = random;
    }

    /** Changes messages in transit, to build faulty variants of the protocol. */
    LimitsFleet onWire(UnaryOperator<PeerMessage> change) {
        onWire = change;
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
            nodes.put(id, new Node(id));
            restart(id, sheet);
        });
        renewLeases();
    }

    /** Publishes a sheet; each host receives it independently within the given time. */
    void publish(Sheet sheet, long maxLagMillis) {
        long now = events.nowMillis();
        published.add(sheet);
        epochs.publish(sheet, now + random.nextLong(maxLagMillis + 1));
        sheet.hosts().keySet().forEach(id -> nodes.computeIfAbsent(id, Node::new));
        for (Node node : nodes.values()) {
            events.at(now + random.nextLong(maxLagMillis + 1), () -> learn(node, node.run, sheet));
        }
    }

    Sheet newestSheet() {
        return published.get(published.size() - 1);
    }

    private void learn(Node node, int run, Sheet sheet) {
        if (network.sideOf(node.id) != 0) {
            // A host that is cut off reaches neither the configuration service nor a peer that does.
            events.at(events.nowMillis() + LEASE_RENEWAL_MILLIS, () -> learn(node, run, sheet));
            return;
        }
        if (!node.alive) {
            if (node.policy == null && sheet.hosts().containsKey(node.id)) {
                restart(node.id, sheet);
            }
            return;
        }
        whenRunning(node, run, () -> {
            if (node.sheet == null || sheet.version().isNewerThan(node.sheet.version())) {
                adopt(node, sheet);
            }
        });
    }

    private void adopt(Node node, Sheet sheet) {
        long now = events.nowMillis();
        EpochModel.Epoch epoch = epochs.epochOf(sheet);
        if (!epoch.equals(node.epoch)) {
            node.epoch = epoch;
            node.adoptedAtMillis = now;
            node.leaseDeadlineMillis = 0;
            renew(node);
        }
        node.sheet = sheet;
        node.policy.onSheet(sheet, node.view(), now);
        noteTerms();
    }

    private void noteTerms() {
        long rate = 0;
        long burst = 0;
        for (Node node : nodes.values()) {
            Workspace workspace = node.alive ? node.sheet.workspaces().get(watched) : null;
            if (workspace != null) {
                rate = Math.max(rate, workspace.ratePerSecond());
                burst = Math.max(burst, workspace.burst());
            }
        }
        meter.terms(events.nowMillis(), rate, burst);
    }

    private void renewLeases() {
        nodes.values().stream()
                .filter(n -> n.alive && n.pausedUntilMillis <= events.nowMillis())
                .forEach(this::renew);
        events.at(events.nowMillis() + LEASE_RENEWAL_MILLIS, this::renewLeases);
    }

    private void renew(Node node) {
        // Side 0 of a partition holds the majority of the witnesses.
        if (network.sideOf(node.id) == 0 && epochs.renews(node.epoch, events.nowMillis())) {
            node.leaseDeadlineMillis = events.nowMillis() + EpochModel.LEASE_MILLIS;
        }
    }

    void kill(HostId id) {
        Node node = nodes.get(id);
        node.alive = false;
        node.run++;
        undecided.values().removeIf(s -> s.host.equals(id));
        noteTerms();
    }

    /** Starts a host with empty memory and a sheet, which may be an old one. */
    void restart(HostId id, Sheet sheet) {
        Node node = nodes.get(id);
        if (node.alive) {
            return;
        }
        node.alive = true;
        node.run++;
        node.pausedUntilMillis = 0;
        node.epoch = null;
        node.policy = factory.create(id, random.nextLong(), events.nowMillis());
        node.sheet = sheet;
        adopt(node, sheet);
    }

    boolean isAlive(HostId id) {
        return nodes.get(id).alive;
    }

    void pause(HostId id, long untilMillis) {
        nodes.get(id).pausedUntilMillis = untilMillis;
    }

    List<Sheet> published() {
        return published;
    }

    /** Sends a request of the workspace to a host; the unused part of its tokens is returned when it ends. */
    void submit(HostId host, long tokens, RequestKind kind, long unused, long runMillis) {
        RequestId id = new RequestId("r" + ++lastRequest);
        long deadline = events.nowMillis() + (kind == RequestKind.DEFERRABLE ? 20_000 : 5000);
        BudgetRequest request = new BudgetRequest(id, watched, tokens, kind, deadline);
        Node node = nodes.get(host);
        whenRunning(node, node.run, () -> {
            undecided.put(id, new Submitted(request, host, node.run, unused, runMillis));
            act(node, node.policy.submit(request, node.view(), events.nowMillis()));
        });
    }

    /** Runs an event of a host now or when its pause ends; not at all if it was killed meanwhile. */
    private void whenRunning(Node node, int run, Runnable event) {
        if (!node.alive || node.run != run) {
            return;
        }
        if (events.nowMillis() < node.pausedUntilMillis) {
            events.at(node.pausedUntilMillis, () -> whenRunning(node, run, event));
            return;
        }
        event.run();
    }

    private void act(Node node, List<LimitAction> actions) {
        for (LimitAction action : actions) {
            if (action instanceof LimitAction.Send send) {
                deliver(node, send);
            } else if (action instanceof LimitAction.Admit admit) {
                onAdmitted(node, undecided.remove(admit.request()));
            } else if (action instanceof LimitAction.Refuse refuse) {
                decidedTwice += undecided.remove(refuse.request()) == null ? 1 : 0;
                refused++;
            }
        }
        long wakeAt = node.policy.nextWakeAtMillis();
        if (wakeAt != Long.MAX_VALUE) {
            int run = node.run;
            events.at(wakeAt, () -> whenRunning(node, run, () -> wake(node)));
        }
    }

    private void wake(Node node) {
        if (node.policy.nextWakeAtMillis() <= events.nowMillis()) {
            act(node, node.policy.onWake(node.view(), events.nowMillis()));
        }
    }

    private void deliver(Node from, LimitAction.Send send) {
        Node to = nodes.get(send.to());
        PeerMessage message = onWire.apply(send.message());
        network.send(
                from.id,
                to.id,
                () -> whenRunning(
                        to,
                        to.run,
                        () -> act(to, to.policy.onMessage(from.id, message, to.view(), events.nowMillis()))));
    }

    private void onAdmitted(Node node, Submitted submitted) {
        if (submitted == null) {
            decidedTwice++;
            return;
        }
        admitted++;
        long now = events.nowMillis();
        Runnable refund = meter.admitted(now, submitted.request.tokens(), submitted.unused);
        if (submitted.unused <= 0) {
            return;
        }
        events.at(
                now + submitted.runMillis,
                () -> whenRunning(node, submitted.run, () -> {
                    refund.run();
                    RequestId id = submitted.request.id();
                    act(node, node.policy.onEnd(id, submitted.unused, node.view(), events.nowMillis()));
                }));
    }
}
