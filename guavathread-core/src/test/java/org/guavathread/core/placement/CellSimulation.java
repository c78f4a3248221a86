package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.orphan.ListedRequest;
import org.guavathread.core.orphan.OrphanSweep;
import org.guavathread.core.orphan.ReservationTable;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.BackendKind;

/** Simulates a cell with fake engines, message loss and host failures, in time steps of 5 ms. */
final class CellSimulation {

    static final int STEP_MILLIS = 5;
    static final int HOSTS = 3;
    static final int MEMORY_PIECES = 12;
    private static final CellId CELL = new CellId(new ModelId("m"), new RegionId("r"), 0);
    private static final Incarnation INCARNATION = new Incarnation(1);

    /** Selects what the simulation leaves out, to verify that the properties then fail. */
    enum Variant {
        FULL,
        NO_SWEEP_NO_CANCEL
    }

    final PlacementCell cell = new PlacementCell(PlacementSettings.DEFAULTS.withQueueBounds(60, 20));
    final Map<RequestId, Integer> replies = new HashMap<>();
    final Map<RequestId, PlaceRequest> submitted = new HashMap<>();
    final Set<RequestId> cancelled = new HashSet<>();
    final Map<BackendServerId, Map<RequestId, ListedRequest>> engines = new TreeMap<>();
    long now = 1_000_000;
    long maxReplyDelayMillis;

    private final Random random;
    private final Variant variant;
    private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
    private final List<ReservationTable> tables = new ArrayList<>();
    private final List<OrphanSweep> sweeps = new ArrayList<>();
    private final boolean[] dead = new boolean[HOSTS];
    private long wakeAt = Long.MAX_VALUE;
    private int nextId;

    CellSimulation(long seed, Variant variant) {
        random = new Random(seed);
        this.variant = variant;
        for (int h = 0; h < HOSTS; h++) {
            tables.add(new ReservationTable(host(h), INCARNATION));
            sweeps.add(new OrphanSweep(host(h), INCARNATION));
        }
        addEngine("p0", BackendKind.PREFILL);
        addEngine("p1", BackendKind.PREFILL);
        addEngine("d0", BackendKind.DECODE);
        addEngine("d1", BackendKind.DECODE);
        sweeps.get(0).setOwnedEngines(engines.keySet());
        report();
    }

    static HostId host(int number) {
        return new HostId("h" + number);
    }

    private void addEngine(String name, BackendKind kind) {
        BackendServerId id = new BackendServerId(name);
        engines.put(id, new HashMap<>());
        apply(cell.engineAdded(
                new EngineSpec(id, kind, new DataCentreId("a"), kind == BackendKind.DECODE ? MEMORY_PIECES : 0, 5_000),
                now));
    }

    private void report() {
        for (BackendServerId id : engines.keySet()) {
            int used = 0;
            for (RequestId request : engines.get(id).keySet()) {
                used += pieces.getOrDefault(request, 0);
            }
            LoadReport report = new LoadReport(id, now, id.value().startsWith("d") ? MEMORY_PIECES : 0, used, 0);
            schedule(random.nextInt(100), () -> apply(cell.loadReported(report, now)));
        }
    }

    private final Map<RequestId, Integer> pieces = new HashMap<>();

    void schedule(long millis, Runnable body) {
        events.computeIfAbsent(now + Math.max(1, millis), t -> new ArrayList<>())
                .add(body);
    }

    /** Advances time by one step and runs the due events and periodic tasks of the hosts and the owner. */
    void step() {
        now += STEP_MILLIS;
        while (!events.isEmpty() && events.firstKey() <= now) {
            events.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            apply(cell.timer(now));
        }
        if (now % 250 == 0) {
            report();
        }
        if (now % 1_000 == 0) {
            renew();
        }
        if (now % 500 == 0 && variant == Variant.FULL) {
            sweep();
        }
    }

    private void renew() {
        for (int h = 0; h < HOSTS; h++) {
            if (!dead[h]) {
                tables.get(h).renewals().forEach(m -> apply(cell.renewed(m, now)));
            }
        }
    }

    private void sweep() {
        for (int h = 0; h < HOSTS; h++) {
            if (dead[h]) {
                continue;
            }
            ReservationTable table = tables.get(h);
            for (BackendServerId engine : sweeps.get(h).enginesToList(now)) {
                List<ListedRequest> listed = List.copyOf(engines.get(engine).values());
                sweeps.get(h).orphansIn(engine, listed, table::expects, now).forEach(engines.get(engine)::remove);
            }
        }
    }

    RequestId submit(int workspace, RequestKind kind, int prompt, long deadline) {
        RequestId id = new RequestId("r" + nextId++);
        int h = random.nextInt(HOSTS);
        PlaceRequest request = new PlaceRequest(
                id,
                host(h),
                INCARNATION,
                CELL,
                new WorkspaceId("w" + workspace),
                kind,
                prompt,
                200,
                List.of(),
                now + 310,
                now + deadline);
        if (!dead[h]) {
            submitted.put(id, request);
            apply(cell.requestArrived(request, now));
        }
        return id;
    }

    /** Cancels a request; the release to the owner and the cancellation on the engines may each be lost. */
    void cancelByCaller(RequestId id) {
        PlaceRequest request = submitted.get(id);
        if (request == null || dead[hostOf(request)]) {
            return;
        }
        cancelled.add(id);
        tables.get(hostOf(request)).ended(id);
        if (random.nextInt(4) > 0) {
            apply(cell.released(new PlaceRelease(id, PlaceRelease.Ending.CANCELLED, 0), now));
        }
        if (random.nextInt(4) > 0) {
            engines.values().forEach(e -> e.remove(id));
        }
    }

    void killHost(int h) {
        if (h == 0 || dead[h]) {
            return;
        }
        dead[h] = true;
        submitted.values().stream().filter(r -> hostOf(r) == h).forEach(r -> cancelled.add(r.request()));
        schedule(3_000, () -> sweeps.get(0).hostSuspect(host(h), now));
        schedule(8_000, () -> apply(cell.hostLost(host(h), now)));
    }

    private static int hostOf(PlaceRequest request) {
        return Integer.parseInt(request.host().value().substring(1));
    }

    private void apply(List<PlacementAction> actions) {
        for (PlacementAction action : actions) {
            if (action instanceof PlacementAction.Reply reply) {
                handleReply(reply.reply());
            } else if (action instanceof PlacementAction.CancelEngineRequest cancel && variant == Variant.FULL) {
                engines.getOrDefault(cancel.engine(), new HashMap<>()).remove(cancel.request());
            } else if (action instanceof PlacementAction.WakeAt wake) {
                wakeAt = wake.atMillis();
            }
        }
    }

    private void handleReply(PlaceReply reply) {
        RequestId id = reply.request();
        PlaceRequest request = submitted.get(id);
        replies.merge(id, 1, Integer::sum);
        maxReplyDelayMillis = Math.max(maxReplyDelayMillis, now - request.deadlineMillis());
        if (reply.grant().isEmpty() || random.nextInt(20) == 0 || dead[hostOf(request)]) {
            return;
        }
        Grant grant = reply.grant().get();
        int h = hostOf(request);
        pieces.put(id, grant.pieces());
        tables.get(h).granted(request, grant);
        sweeps.get(h).engineUsed(grant.prefill(), now);
        sweeps.get(h).engineUsed(grant.decode(), now);
        schedule(random.nextInt(5), () -> start(request, grant.decode()));
        schedule(random.nextInt(5), () -> start(request, grant.prefill()));
        schedule(30 + random.nextInt(60), () -> prefillDone(request, grant));
    }

    private void start(PlaceRequest request, BackendServerId engine) {
        if (!dead[hostOf(request)] && tables.get(hostOf(request)).expects(engine, request.request())) {
            engines.get(engine)
                    .put(
                            request.request(),
                            new ListedRequest(request.request(), request.host(), request.incarnation()));
        }
    }

    /** Ends the prefill unless the request is no longer expected, and starts a decode that finishes or hangs. */
    private void prefillDone(PlaceRequest request, Grant grant) {
        RequestId id = request.request();
        ReservationTable table = tables.get(hostOf(request));
        if (dead[hostOf(request)] || !table.expects(grant.decode(), id)) {
            return;
        }
        table.prefillEnded(id);
        engines.get(grant.prefill()).remove(id);
        apply(cell.prefillEnded(new PlacePrefillDone(id, 0, 40), now));
        boolean hangs = random.nextInt(10) == 0;
        schedule(hangs ? 5_000 : 300 + random.nextInt(1_500), () -> {
            if (!dead[hostOf(request)] && table.expects(grant.decode(), id)) {
                table.ended(id);
                engines.get(grant.decode()).remove(id);
                PlaceRelease.Ending ending = hangs ? PlaceRelease.Ending.DECODE_FAILED : PlaceRelease.Ending.FINISHED;
                apply(cell.released(new PlaceRelease(id, ending, 50), now));
            }
        });
    }
}
