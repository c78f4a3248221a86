package org.guavathread.router.service;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.placement.Cell;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.EngineSpec;
import org.guavathread.core.placement.LoadReport;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceReply;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.placement.PlacementAction;
import org.guavathread.core.placement.PlacementCell;
import org.guavathread.core.placement.PlacementSettings;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.Sheet;

/** The cells that this host owns. Used only on the thread of the placement duty. */
final class CellOwner {

    private static final class OwnedCell {
        private final PlacementCell cell = new PlacementCell(PlacementSettings.DEFAULTS);
        private final Map<BackendServerId, BackendServer> engines = new HashMap<>();
        private long wakeAtMillis = Long.MAX_VALUE;
    }

    private final Map<CellId, OwnedCell> cells = new HashMap<>();
    private final BiConsumer<HostId, PlaceReply> replies;
    private final BiConsumer<BackendServerId, RequestId> cancellations;

    /**
     * Creates an owner without cells.
     *
     * @param replies sends a reply to a host
     * @param cancellations cancels a request on an engine
     */
    CellOwner(BiConsumer<HostId, PlaceReply> replies, BiConsumer<BackendServerId, RequestId> cancellations) {
        this.replies = replies;
        this.cancellations = cancellations;
    }

    /** Adds newly owned cells, drops those that another host owns now, and applies changes to their engines in the sheet. */
    void ownedCells(List<Cell> owned, Sheet sheet, long nowMillis) {
        Set<CellId> ids = new HashSet<>();
        owned.forEach(c -> ids.add(c.id()));
        cells.keySet().retainAll(ids);
        for (Cell cell : owned) {
            OwnedCell entry = cells.computeIfAbsent(cell.id(), id -> new OwnedCell());
            entry.cell.workspaceRates(ratesOf(sheet));
            updateEngines(entry, cell, nowMillis);
        }
    }

    void requestArrived(PlaceRequest request, long nowMillis) {
        OwnedCell entry = cells.get(request.cell());
        if (entry != null) {
            perform(entry, entry.cell.requestArrived(request, nowMillis));
        }
    }

    void renewed(PlaceRenew renew, long nowMillis) {
        OwnedCell entry = cells.get(renew.cell());
        if (entry != null) {
            perform(entry, entry.cell.renewed(renew, nowMillis));
        }
    }

    void released(PlaceRelease release, long nowMillis) {
        forEachCell(entry -> perform(entry, entry.cell.released(release, nowMillis)));
    }

    void prefillEnded(PlacePrefillDone done, long nowMillis) {
        forEachCell(entry -> perform(entry, entry.cell.prefillEnded(done, nowMillis)));
    }

    void loadReported(LoadReport report, long nowMillis) {
        forEachCell(entry -> {
            if (entry.engines.containsKey(report.engine())) {
                perform(entry, entry.cell.loadReported(report, nowMillis));
            }
        });
    }

    void cacheChanged(org.guavathread.core.placement.CacheEvent event) {
        forEachCell(entry -> entry.cell.cacheChanged(event));
    }

    void hostLost(HostId host, long nowMillis) {
        forEachCell(entry -> perform(entry, entry.cell.hostLost(host, nowMillis)));
    }

    void timer(long nowMillis) {
        forEachCell(entry -> {
            if (nowMillis >= entry.wakeAtMillis) {
                entry.wakeAtMillis = Long.MAX_VALUE;
                perform(entry, entry.cell.timer(nowMillis));
            }
        });
    }

    long nextWakeAtMillis() {
        long next = Long.MAX_VALUE;
        for (OwnedCell entry : cells.values()) {
            next = Math.min(next, entry.wakeAtMillis);
        }
        return next;
    }

    /** Lists the engines of all owned cells. */
    Map<BackendServerId, BackendServer> engines() {
        Map<BackendServerId, BackendServer> all = new HashMap<>();
        forEachCell(entry -> all.putAll(entry.engines));
        return all;
    }

    int queuedRequests() {
        return cells.values().stream().mapToInt(e -> e.cell.queuedRequests()).sum();
    }

    int openReservations() {
        return cells.values().stream().mapToInt(e -> e.cell.openReservations()).sum();
    }

    int reservedPieces(BackendServerId engine) {
        return cells.values().stream()
                .mapToInt(e -> e.cell.reservedPieces(engine))
                .sum();
    }

    int cellCount() {
        return cells.size();
    }

    private void updateEngines(OwnedCell entry, Cell cell, long nowMillis) {
        Map<BackendServerId, BackendServer> listed = new HashMap<>();
        cell.engines().forEach(e -> listed.put(e.id(), e));
        for (BackendServerId engineId : List.copyOf(entry.engines.keySet())) {
            if (!listed.containsKey(engineId)) {
                entry.engines.remove(engineId);
                perform(entry, entry.cell.engineRemoved(engineId, nowMillis));
            }
        }
        for (BackendServer engine : cell.engines()) {
            BackendServer before = entry.engines.put(engine.id(), engine);
            if (engine.equals(before)) {
                continue;
            }
            if (before == null || engine.isActive()) {
                perform(entry, entry.cell.engineAdded(EngineSpec.of(engine), nowMillis));
            }
            if (engine.state() == AdminState.LEAVING) {
                entry.cell.engineLeaving(engine.id());
            }
        }
    }

    private static Map<WorkspaceId, Integer> ratesOf(Sheet sheet) {
        Map<WorkspaceId, Integer> rates = new HashMap<>();
        sheet.workspaces()
                .values()
                .forEach(w -> rates.put(w.id(), (int) Math.min(Integer.MAX_VALUE, w.ratePerSecond())));
        return rates;
    }

    private void forEachCell(Consumer<OwnedCell> action) {
        List.copyOf(cells.values()).forEach(action);
    }

    private void perform(OwnedCell entry, List<PlacementAction> actions) {
        for (PlacementAction action : actions) {
            if (action instanceof PlacementAction.Reply reply) {
                replies.accept(reply.to(), reply.reply());
            } else if (action instanceof PlacementAction.CancelEngineRequest cancel) {
                cancellations.accept(cancel.engine(), cancel.request());
            } else if (action instanceof PlacementAction.WakeAt wake) {
                entry.wakeAtMillis = wake.atMillis();
            }
        }
    }
}
