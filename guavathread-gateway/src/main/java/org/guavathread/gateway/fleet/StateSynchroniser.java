package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.publish.StartSynchronisation;
import org.guavathread.core.publish.StateChange;
import org.guavathread.core.publish.StateSnapshot;
import org.guavathread.core.publish.StoreFollower;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.registry.DepartureNotice;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.protocol.StoreClient;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.wire.CodecException;
import org.tinylog.Logger;

/** Synchronises the published state from the store or from other hosts. Runs on the event loop's thread. */
public final class StateSynchroniser {

    private static final int STATUS_OK = 200;
    private static final long SHORTEST_WAIT_MILLIS = 1;

    private final GatewayContext context;
    private final StoreClient store;
    private final FleetView fleet;
    private final Runnable onChange;
    private final StoreFollower follower;
    private final StartSynchronisation start;
    private final StateRelay relay = new StateRelay();
    private final UnreadableMessages unreadable;
    private final List<Runnable> heldUntilStarted = new ArrayList<>();
    private boolean storeAsked;

    /**
     * Creates the synchroniser.
     *
     * @param context the state, the loop and the logs
     * @param store client of the store
     * @param fleet this host's view of the other hosts
     * @param follower schedules the calls
     * @param start decides which hosts are asked before the store
     * @param onChange runs after the state has changed
     */
    public StateSynchroniser(
            GatewayContext context,
            StoreClient store,
            FleetView fleet,
            StoreFollower follower,
            StartSynchronisation start,
            Runnable onChange) {
        this.context = context;
        this.store = store;
        this.fleet = fleet;
        this.follower = follower;
        this.start = start;
        this.onChange = onChange;
        this.unreadable = new UnreadableMessages("published state", context.metrics());
    }

    /** Expires registry entries and makes the store and peer calls that are due. */
    public void step() {
        long now = context.loop().nowMillis();
        handleChanges(context.state().expire(now), "end of a grace period");
        if (!start.isDone(now)) {
            start.next(fleet.stateSources(now)).forEach(this::requestState);
            if (!storeAsked) {
                callStore(now);
            }
            return;
        }
        List<Runnable> held = List.copyOf(heldUntilStarted);
        heldUntilStarted.clear();
        held.forEach(Runnable::run);
        callStore(now);
        PublishedState state = context.state();
        Optional<HostReport> ahead = fleet.mostRecentState(state.position(), state.version(), now);
        follower.nextPeer(ahead, state.position(), now)
                .ifPresent(peer -> requestState(peer.peers())
                        .thenRun(() -> follower.peerAnswered(context.loop().nowMillis())));
    }

    /**
     * Applies what servers have stated to another host: that they leave.
     *
     * @param notice the other host's notice
     */
    public void receive(DepartureNotice notice) {
        long now = context.loop().nowMillis();
        handleChanges(context.state().applyDepartures(notice.departures(), now), "notice of another host");
    }

    private void callStore(long nowMillis) {
        storeAsked = true;
        follower.next(nowMillis).ifPresent(this::call);
    }

    /** Applies a part of the published state; while this host starts, it waits for what others say. */
    private void applyOnceStarted(Runnable application) {
        if (start.isDone(context.loop().nowMillis())) {
            application.run();
        } else {
            heldUntilStarted.add(application);
        }
    }

    private void call(StoreFollower.Call call) {
        long now = context.loop().nowMillis();
        switch (call) {
            case LISTING ->
                store.list(now + StoreFollower.SHORT_CALL_TIMEOUT_MILLIS)
                        .whenComplete((reply, failure) -> context.loop().complete(() -> listed(reply, failure)));
            case WATCH ->
                watch(StoreFollower.WATCH_MILLIS, now + StoreFollower.WATCH_MILLIS + StoreFollower.WATCH_SLACK_MILLIS);
            case PROBE -> watch(SHORTEST_WAIT_MILLIS, now + StoreFollower.SHORT_CALL_TIMEOUT_MILLIS);
            default -> throw new IllegalStateException("Unknown store call " + call + ".");
        }
    }

    private void watch(long waitMillis, long deadlineMillis) {
        StorePosition from = context.state().position();
        store.watch(from.revision(), waitMillis, deadlineMillis)
                .whenComplete((reply, failure) -> context.loop().complete(() -> watched(from, reply, failure)));
    }

    private void listed(StoreClient.Reply reply, Throwable failure) {
        if (failure != null) {
            storeFailed(failure);
            return;
        }
        long now = context.loop().nowMillis();
        storeAnswered(false, now);
        logPosition("listed", reply.position());
        applyOnceStarted(() -> applyListing(reply));
        step();
    }

    private void applyListing(StoreClient.Reply reply) {
        long now = context.loop().nowMillis();
        StorePosition before = context.state().position();
        handleChanges(context.state().applyListing(reply.items(), reply.position(), now), "store listing");
        if (reply.position().epoch() > before.epoch() && !before.equals(StorePosition.START)) {
            // This host may have been away while servers left that the copy still lists.
            fleet.anyServingHost(now).ifPresent(peer -> requestState(peer.peers()));
        }
    }

    private void watched(StorePosition from, StoreClient.Reply reply, Throwable failure) {
        if (failure != null) {
            storeFailed(failure);
            return;
        }
        long now = context.loop().nowMillis();
        // The revision that was asked for may exist in the store's present epoch and mean another state there.
        boolean continues = !reply.historyGone() && reply.position().epoch() == from.epoch();
        storeAnswered(continues && !reply.items().isEmpty(), now);
        if (!continues) {
            follower.historyGone(now);
            logPosition("history gone, listing again", reply.position());
        } else if (from.epoch() == context.state().position().epoch()) {
            follower.continued();
            handleChanges(context.state().applyEvents(reply.items(), reply.position(), now), "store watch");
        }
        step();
    }

    /** Logs where the store is, beside where this host is. */
    private void logPosition(String outcome, StorePosition position) {
        context.log()
                .entry("store")
                .with("outcome", outcome)
                .with("storeEpoch", position.epoch())
                .with("storeRevision", position.revision())
                .with("epoch", context.state().position().epoch())
                .with("revision", context.state().position().revision())
                .write();
    }

    private void storeAnswered(boolean hasChanges, long nowMillis) {
        start.storeAnswered();
        if (follower.answered(hasChanges, nowMillis)) {
            context.state().registry().sourceRecovered(nowMillis);
            context.log()
                    .entry("dependency")
                    .with("name", "store")
                    .with("outcome", "regained")
                    .with("epoch", context.state().position().epoch())
                    .with("revision", context.state().position().revision())
                    .write();
        }
    }

    private void storeFailed(Throwable failure) {
        start.storeAnswered();
        boolean first =
                follower.failed(context.loop().nowMillis(), context.random().nextDouble());
        if (first) {
            context.state().registry().sourceUnreachable();
            context.log()
                    .entry("dependency")
                    .with("name", "store")
                    .with("outcome", "lost")
                    .with("failure", failure.getMessage())
                    .with("epoch", context.state().position().epoch())
                    .with("revision", context.state().position().revision())
                    .write();
        }
        context.metrics().stateChanged("store call failed");
    }

    /** Asks another host for what this one does not know; completes on the event loop's thread, whatever the outcome. */
    private CompletableFuture<Void> requestState(SocketAddressText peer) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        StateRelay.Known known =
                new StateRelay.Known(context.state().position(), context.state().version());
        context.client()
                .send(peer, relay.request(known, context.loop().nowMillis()))
                .whenComplete((answer, failure) -> context.loop().complete(() -> {
                    stateReceived(peer, answer, failure);
                    done.complete(null);
                }));
        return done;
    }

    private void stateReceived(SocketAddressText peer, HttpResponse answer, Throwable failure) {
        if (failure != null || answer.status() != STATUS_OK) {
            Logger.warn(
                    "Reading the published state from host {} failed: {}.",
                    peer,
                    failure == null ? "status " + answer.status() : failure.getMessage());
            return;
        }
        try {
            StateSnapshot snapshot = relay.decode(answer.body());
            if (snapshot.configuration().isPresent()) {
                start.hostAnswered();
            }
            applyOnceStarted(() -> handleChanges(
                    relay.apply(snapshot, context.state(), context.loop().nowMillis()), "host " + peer));
        } catch (CodecException e) {
            unreadable.count(peer, e);
        }
    }

    /**
     * Logs changes of the published state and tells the parts of this host that depend on it.
     *
     * @param changes the changes
     * @param source where they were learned
     */
    public void handleChanges(List<StateChange> changes, String source) {
        for (StateChange change : changes) {
            context.metrics().stateChanged(change.what());
            context.log()
                    .entry("state")
                    .with("what", change.what())
                    .with("name", change.name())
                    .with("outcome", change.outcome())
                    .with("revision", change.revision())
                    .with("source", source)
                    .write();
        }
        if (!changes.isEmpty()) {
            context.health().retain(context.state().registry().ids());
            context.reach().retain(context.state().registry().ids());
            context.coldServers()
                    .update(
                            context.state().table().map(RoutingTable::services).orElse(List.of()),
                            context.state().registry().registered(),
                            context.loop().nowMillis());
            changes.forEach(change -> change.evacuation().ifPresent(this::mayHaveBecomeCold));
            context.serverLimits()
                    .retain(
                            context.state().registry().registered(),
                            context.loop().nowMillis());
            context.notices().retain(context.state().registry().ids());
            onChange.run();
        }
    }

    /** Servers of a data centre that is evacuated or taken back may be cold without having said so yet. */
    private void mayHaveBecomeCold(DataCentreId dataCentre) {
        List<Worker> servers = context.state().registry().registered().stream()
                .filter(w -> w.dataCentre().equals(dataCentre))
                .toList();
        context.coldServers().mayHaveBecomeCold(servers, context.loop().nowMillis());
    }
}
