package org.guavathread.router.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.orphan.ListedRequest;
import org.guavathread.core.orphan.OrphanSweep;
import org.guavathread.core.placement.CacheEvent;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.LoadReport;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.backend.Engine;
import org.guavathread.router.backend.EngineLoad;
import org.guavathread.router.backend.EngineRequest;
import org.guavathread.router.backend.PrefillEngine;
import org.guavathread.router.backend.PrefixEvent;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.metrics.RouterMetrics;
import org.tinylog.Logger;

/** Polls load, prefix events and request lists of engines, and cancels orphans. */
public final class EngineMonitor {

    private static final long LOAD_EVERY_MILLIS = 200;
    private static final long EVENTS_EVERY_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final HostId self;
    private final BackendRegistry backends;
    private final RouterMetrics metrics;
    private final Clock clock;
    private final Consumer<Consumer<PlacementService.State>> onDuty;
    private final OrphanSweep sweep;
    private final Map<BackendServerId, EngineLoad> loads = new HashMap<>();
    private final Map<BackendServerId, Long> lastEvents = new HashMap<>();
    private final Set<BackendServerId> pendingLoadReads = new HashSet<>();
    private final Set<HostId> lostHosts = new HashSet<>();
    private long loadAtMillis;
    private long eventsAtMillis;

    /**
     * State of an engine, as the owner of its cell knows it.
     *
     * @param id its name
     * @param kind its kind in the sheet
     * @param state {@code "active"} or {@code "leaving"}
     * @param reservedPieces pieces reserved in the ledger
     * @param usedPieces pieces in use according to the last report; -1 before the first one
     * @param memoryPieces size of its memory in pieces
     * @param queueTokens queued prompt tokens; -1 before the first report
     */
    public record Row(
            String id,
            String kind,
            String state,
            int reservedPieces,
            int usedPieces,
            int memoryPieces,
            long queueTokens) {}

    EngineMonitor(
            HostId self,
            Incarnation incarnation,
            BackendRegistry backends,
            RouterMetrics metrics,
            Clock clock,
            Consumer<Consumer<PlacementService.State>> onDuty) {
        this.self = self;
        this.backends = backends;
        this.metrics = metrics;
        this.clock = clock;
        this.onDuty = onDuty;
        this.sweep = new OrphanSweep(self, incarnation);
    }

    /** Cancels a request without waiting for the result; the orphan sweep repeats a lost cancellation. */
    void cancel(BackendServerId engine, RequestId request) {
        backends.engine(engine)
                .ifPresent(e -> e.cancel(request, clock.nowMillis() + CALL_TIMEOUT_MILLIS)
                        .whenComplete((done, failure) -> {
                            if (failure != null) {
                                Logger.debug("Cancelling {} on {} failed: {}", request, engine, failure.getMessage());
                            }
                        }));
    }

    void used(Grant grant, long nowMillis) {
        sweep.engineUsed(grant.prefill(), nowMillis);
        sweep.engineUsed(grant.decode(), nowMillis);
    }

    List<Row> rows(PlacementService.State state) {
        List<Row> rows = new ArrayList<>();
        state.owner().engines().values().forEach(e -> rows.add(row(state, e)));
        rows.sort((a, b) -> a.id().compareTo(b.id()));
        return rows;
    }

    void tick(PlacementService.State state, FleetSnapshot fleet, long nowMillis) {
        Map<BackendServerId, BackendServer> owned = state.owner().engines();
        loads.keySet().retainAll(owned.keySet());
        sweep.setOwnedEngines(owned.keySet());
        updateHosts(state, fleet, nowMillis);
        if (nowMillis >= loadAtMillis) {
            loadAtMillis = nowMillis + LOAD_EVERY_MILLIS;
            owned.keySet().forEach(this::readLoad);
        }
        if (nowMillis >= eventsAtMillis) {
            eventsAtMillis = nowMillis + EVENTS_EVERY_MILLIS;
            owned.values().stream().filter(e -> e.kind() == BackendKind.PREFILL).forEach(e -> readEvents(e.id()));
        }
        sweep.enginesToList(nowMillis).forEach(id -> listRequests(id, owned.containsKey(id)));
    }

    private Row row(PlacementService.State state, BackendServer engine) {
        EngineLoad load = loads.get(engine.id());
        return new Row(
                engine.id().value(),
                engine.kind().sheetName(),
                engine.state().sheetName(),
                state.owner().reservedPieces(engine.id()),
                load == null ? -1 : load.usedPieces(),
                engine.memoryPieces(),
                load == null ? -1 : load.queueTokens());
    }

    private void updateHosts(PlacementService.State state, FleetSnapshot fleet, long nowMillis) {
        fleet.suspect().forEach(h -> sweep.hostSuspect(h, nowMillis));
        fleet.incarnations().forEach((host, run) -> {
            if (!fleet.suspect().contains(host)) {
                sweep.hostAlive(host, run);
            }
        });
        lostHosts.retainAll(fleet.suspect());
        for (HostId host : fleet.suspect()) {
            if (sweep.isLost(host, nowMillis) && lostHosts.add(host)) {
                state.owner().hostLost(host, nowMillis);
            }
        }
    }

    private void readLoad(BackendServerId id) {
        if (!pendingLoadReads.add(id)) {
            return;
        }
        backends.engine(id).ifPresentOrElse(engine -> readLoad(id, engine), () -> pendingLoadReads.remove(id));
    }

    private void readLoad(BackendServerId id, Engine engine) {
        engine.load(clock.nowMillis() + CALL_TIMEOUT_MILLIS)
                .whenComplete((load, failure) -> onDuty.accept(state -> {
                    pendingLoadReads.remove(id);
                    if (failure != null) {
                        return;
                    }
                    long now = clock.nowMillis();
                    loads.put(id, load);
                    state.owner()
                            .loadReported(
                                    new LoadReport(
                                            id, now - load.ageMillis(), load.memoryPieces(), load.usedPieces(), (int)
                                                    Math.min(Integer.MAX_VALUE, load.queueTokens())),
                                    now);
                }));
    }

    private void readEvents(BackendServerId id) {
        long after = lastEvents.getOrDefault(id, 0L);
        PrefillEngine engine = backends.prefill(id).orElse(null);
        if (engine == null) {
            return;
        }
        engine.prefixEvents(after, clock.nowMillis() + CALL_TIMEOUT_MILLIS)
                .thenAccept(events -> onDuty.accept(state -> {
                    for (PrefixEvent event : events) {
                        List<PrefixHash> hash = List.of(new PrefixHash(event.prefixHash()));
                        state.owner()
                                .cacheChanged(new CacheEvent(
                                        id,
                                        event.sequence(),
                                        event.stored() ? hash : List.of(),
                                        event.stored() ? List.of() : hash));
                        lastEvents.merge(id, event.sequence(), Math::max);
                    }
                }));
    }

    /** The owner of a cell lists the requests of all hosts, because a dead host cannot list its own. */
    private void listRequests(BackendServerId id, boolean owned) {
        long deadlineMillis = clock.nowMillis() + CALL_TIMEOUT_MILLIS;
        backends.engine(id)
                .map(engine -> owned ? engine.listAll(deadlineMillis) : engine.list(self, deadlineMillis))
                .ifPresent(list -> list.thenAccept(listed -> onDuty.accept(state -> cancelOrphans(state, id, listed))));
    }

    private void cancelOrphans(PlacementService.State state, BackendServerId id, List<EngineRequest> listed) {
        List<ListedRequest> requests = listed.stream()
                .map(r -> new ListedRequest(
                        r.requestId(), r.owner().host(), r.owner().incarnation()))
                .toList();
        for (RequestId orphan : sweep.orphansIn(id, requests, state.reservations()::expects, clock.nowMillis())) {
            Logger.info("Cancelling {} on {}: no host waits for it.", orphan, id);
            metrics.countOrphan();
            cancel(id, orphan);
        }
    }
}
