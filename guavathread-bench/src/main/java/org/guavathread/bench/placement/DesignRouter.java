package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.orphan.ReservationTable;
import org.guavathread.core.placement.CacheEvent;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.EngineSpec;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.LoadReport;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRelease.Ending;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceReply;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.placement.PlacementAction;
import org.guavathread.core.placement.PlacementCell;
import org.guavathread.core.placement.PlacementSettings;
import org.guavathread.core.sheet.BackendKind;

/** Places requests as the design does: host 0 owns the cell and the other hosts send it placement requests. */
final class DesignRouter extends Router {

    private static final CellId CELL = new CellId(new ModelId("model"), new RegionId("region"), 0);
    private static final int OWNER = 0;
    private static final Incarnation INCARNATION = new Incarnation(1);
    private static final long RENEWAL_INTERVAL_MICROS = 1_000_000;

    private final PlacementCell cell;
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<ReservationTable> tables = new ArrayList<>();
    private final Map<String, SimRequest> requestsById = new HashMap<>();
    private final Map<BackendServerId, Long> eventSequences = new HashMap<>();
    private long wakeVersion;

    DesignRouter(Fleet fleet) {
        super(fleet);
        cell = new PlacementCell(PlacementSettings.DEFAULTS);
        cell.workspaceRates(Workload.rates());
        for (int h = 0; h < Deployment.HOSTS; h++) {
            tables.add(new ReservationTable(hostId(h), INCARNATION));
        }
        fleet.prefills.forEach(p -> addEngine(p.id, BackendKind.PREFILL, p.dataCentre, 0));
        fleet.decodes.forEach(d -> addEngine(d.id, BackendKind.DECODE, d.dataCentre, EngineModel.MEMORY_PIECES));
    }

    private void addEngine(BackendServerId id, BackendKind kind, int dataCentre, int pieces) {
        DataCentreId dc = new DataCentreId("dc" + dataCentre);
        perform(cell.engineAdded(new EngineSpec(id, kind, dc, pieces, EngineModel.LINK_MEGABYTES_PER_SECOND), 0));
    }

    private static HostId hostId(int host) {
        return new HostId("h" + host);
    }

    @Override
    void start(long untilMicros) {
        report();
        loop.every(EngineModel.REPORT_INTERVAL_MICROS, untilMicros, this::report);
        loop.every(EngineModel.EVENT_INTERVAL_MICROS, untilMicros, this::publishCacheEvents);
        loop.every(RENEWAL_INTERVAL_MICROS, untilMicros, this::renew);
    }

    private void report() {
        long takenAtMillis = loop.nowMillis();
        for (FakePrefill p : fleet.prefills) {
            if (p.isResponsive()) {
                LoadReport report = new LoadReport(p.id, takenAtMillis, 0, 0, p.queueTokens());
                loop.after(EngineModel.REPORT_LAG_MICROS, () -> perform(cell.loadReported(report, loop.nowMillis())));
            }
        }
        for (FakeDecode d : fleet.decodes) {
            if (d.isResponsive()) {
                LoadReport report = new LoadReport(d.id, takenAtMillis, EngineModel.MEMORY_PIECES, d.used(), 0);
                loop.after(EngineModel.REPORT_LAG_MICROS, () -> perform(cell.loadReported(report, loop.nowMillis())));
            }
        }
    }

    private void publishCacheEvents() {
        for (FakePrefill p : fleet.prefills) {
            long sequence = eventSequences.merge(p.id, 1L, Long::sum);
            CacheEvent event = new CacheEvent(p.id, sequence, p.drainAdded(), p.drainRemoved());
            if (p.isResponsive() && random.nextDouble() >= EngineModel.EVENT_LOSS_SHARE) {
                loop.after(EngineModel.REPORT_LAG_MICROS, () -> cell.cacheChanged(event));
            }
        }
    }

    private void renew() {
        for (int h = 0; h < tables.size(); h++) {
            for (PlaceRenew message : tables.get(h).renewals()) {
                loop.after(ownerHopMicros(h), () -> perform(cell.renewed(message, loop.nowMillis())));
            }
        }
    }

    @Override
    void place(SimRequest request) {
        boolean resumed = request.attempt != null;
        long target = (resumed ? loop.nowMicros() : request.sentMicros) + EngineModel.TARGET_FIRST_TOKEN_MICROS;
        PlaceRequest message = new PlaceRequest(
                request.id,
                hostId(request.host),
                INCARNATION,
                CELL,
                request.workspace,
                request.kind,
                request.remainingPrompt(),
                SimRequest.MAX_OUTPUT - request.generated,
                request.prefixes,
                target / 1_000,
                request.deadlineMicros() / 1_000);
        requestsById.put(request.id.value(), request);
        loop.after(ownerHopMicros(request.host), () -> perform(cell.requestArrived(message, loop.nowMillis())));
    }

    @Override
    void onPrefillDone(Attempt attempt) {
        PlacePrefillDone done =
                new PlacePrefillDone(attempt.request.id, attempt.cachedTokens, (int) (attempt.serviceMicros / 1_000));
        long hops = hostHopMicros(attempt, attempt.prefill.dataCentre) + ownerHopMicros(attempt.request.host);
        loop.after(hops, () -> perform(cell.prefillEnded(done, loop.nowMillis())));
    }

    @Override
    void onEnded(Attempt attempt, Ending ending) {
        tables.get(attempt.request.host).ended(attempt.request.id);
        PlaceRelease release = new PlaceRelease(attempt.request.id, ending, attempt.produced);
        loop.after(ownerHopMicros(attempt.request.host), () -> perform(cell.released(release, loop.nowMillis())));
    }

    private long ownerHopMicros(int host) {
        if (host == OWNER) {
            return 0;
        }
        return fleet.deployment.hopMicros(fleet.dataCentreOfHost(host), fleet.dataCentreOfHost(OWNER));
    }

    private void perform(List<PlacementAction> actions) {
        for (PlacementAction action : actions) {
            if (action instanceof PlacementAction.Reply reply) {
                SimRequest request = requestsById.get(reply.reply().request().value());
                loop.after(ownerHopMicros(request.host), () -> onReply(request, reply.reply()));
            } else if (action instanceof PlacementAction.WakeAt wake) {
                long version = ++wakeVersion;
                loop.at(wake.atMillis() * 1_000, () -> {
                    if (version == wakeVersion) {
                        perform(cell.timer(loop.nowMillis()));
                    }
                });
            }
        }
    }

    private void onReply(SimRequest request, PlaceReply reply) {
        if (reply.refusal().isPresent()) {
            request.refused = true;
            return;
        }
        Grant grant = reply.grant().orElseThrow();
        FakePrefill prefill = fleet.prefills.stream()
                .filter(p -> p.id.equals(grant.prefill()))
                .findFirst()
                .orElseThrow();
        FakeDecode decode = fleet.decodes.stream()
                .filter(d -> d.id.equals(grant.decode()))
                .findFirst()
                .orElseThrow();
        tables.get(request.host).granted(placedRequest(request), grant);
        run(request, prefill, decode, grant.pieces());
    }

    private static PlaceRequest placedRequest(SimRequest request) {
        return new PlaceRequest(
                request.id,
                hostId(request.host),
                INCARNATION,
                CELL,
                request.workspace,
                request.kind,
                request.remainingPrompt(),
                SimRequest.MAX_OUTPUT,
                List.of(),
                0,
                0);
    }
}
