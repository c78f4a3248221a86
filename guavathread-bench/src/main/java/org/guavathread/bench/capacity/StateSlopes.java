package org.guavathread.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.guavathread.bench.configuration.GeneratedSheets;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.ClaimSettings;
import org.guavathread.core.claim.ClaimVoter;
import org.guavathread.core.claim.IssueTimes;
import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.limit.BudgetRequester;
import org.guavathread.core.limit.HomeBudgets;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.PeerTable;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.EngineSpec;
import org.guavathread.core.placement.LoadReport;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.placement.PlacementCell;
import org.guavathread.core.placement.PlacementSettings;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.Sheet;

/** Measures the heap that each additional element of a kind of state takes, in bytes. */
final class StateSlopes {

    private static final long NOW = 1_800_000_000_000L;
    private static final Incarnation INCARNATION = new Incarnation(NOW - 3_600_000);
    private static final HostId SELF = GeneratedSheets.host(0);

    private StateSlopes() {}

    /** Bytes for each workspace of the sheet: sheet, API keys, limits at a host that requests budget. */
    static double workspace() {
        int few = 1_000;
        int many = 14_000;
        return slope(() -> limits(sheet(few)), () -> limits(sheet(many)), many - few);
    }

    /** Bytes for each host of the sheet, with its row in the peer table. */
    static double host() {
        return slope(() -> peers(50), () -> peers(410), 360);
    }

    /** Bytes for each claim at a voter. */
    static double claim() {
        return slope(() -> voter(1_000), () -> voter(11_000), 10_000);
    }

    /** Bytes for each engine at the owner of its cell. */
    static double engine() {
        return slope(() -> cell(4, 0), () -> cell(32, 0), 28);
    }

    /** Bytes for each queued request at the owner of a cell. */
    static double queuedRequest() {
        return slope(() -> cell(2, 100), () -> cell(2, 1_000), 900);
    }

    private static Sheet sheet(int workspaces) {
        return GeneratedSheets.sheet(1, Target.HOSTS, Set.of(), Target.DATA_CENTRES, Target.REGIONS, workspaces);
    }

    static EpochView view(Sheet sheet) {
        EpochMembers members = new EpochMembers(new HostEpoch(1), sheet.activeHosts());
        return new EpochView(members, NOW + 3_600_000, NOW - 3_700_000, NOW - 3_600_000, List.of());
    }

    private static Object limits(Sheet sheet) {
        HomeBudgets budgets = new HomeBudgets(SELF, 1);
        budgets.onSheet(sheet, view(sheet), NOW);
        BudgetRequester requester = new BudgetRequester(SELF, 1, budgets);
        requester.onSheet(sheet, view(sheet), NOW);
        return List.of(sheet, budgets, requester, KeyRing.of(sheet));
    }

    private static Object peers(int hosts) {
        Sheet sheet = GeneratedSheets.sheet(1, hosts, Set.of(), Target.DATA_CENTRES, Target.REGIONS, 1);
        PeerTable table = new PeerTable(SELF, new java.util.Random(1));
        table.onSheet(sheet);
        for (HostId host : sheet.hosts().keySet()) {
            table.onReport(host, new PeerReport(INCARNATION, new SheetVersion(1), false, 0, Optional.empty()), NOW);
        }
        return List.of(sheet, table, view(sheet));
    }

    private static Object voter(int claims) {
        Sheet sheet = GeneratedSheets.sheet(1, 5, Set.of(), 1, 1, 1);
        ClaimVoter voter = new ClaimVoter(SELF, INCARNATION, NOW - 3_600_000, ClaimSettings.defaults(300_000));
        for (int i = 0; i < claims; i++) {
            WorkspaceId workspace = new WorkspaceId("workspace-" + i % 100);
            IdempotencyKey key = new IdempotencyKey("0190b6c2-7d1e-7c3a-9f5e-" + (100_000_000_000L + i));
            voter.onRequest(
                    new ClaimRequest(
                            new ClaimKey(workspace, new RouteId("booking"), key),
                            new AttemptId(SELF, INCARNATION, i),
                            new HostEpoch(1),
                            NOW,
                            IssueTimes.UNKNOWN),
                    view(sheet),
                    NOW);
        }
        if (voter.size() != claims) {
            throw new IllegalStateException("The voter recorded " + voter.size() + " of " + claims + " claims.");
        }
        return voter;
    }

    /** Builds a cell whose decode engines are full, so that all requests are queued. */
    private static Object cell(int engines, int requests) {
        PlacementCell cell = new PlacementCell(PlacementSettings.DEFAULTS.withQueueBounds(10_000, 10_000));
        for (int i = 0; i < engines; i++) {
            BackendServerId id = new BackendServerId("engine-" + i);
            BackendKind kind = i % 2 == 0 ? BackendKind.PREFILL : BackendKind.DECODE;
            cell.engineAdded(new EngineSpec(id, kind, new DataCentreId("dc0"), 20, 10_000), NOW);
            cell.loadReported(new LoadReport(id, NOW, 20, kind == BackendKind.DECODE ? 20 : 0, 0), NOW);
        }
        for (int i = 0; i < requests; i++) {
            cell.requestArrived(request(i), NOW);
        }
        if (cell.queuedRequests() != requests) {
            throw new IllegalStateException(cell.queuedRequests() + " of " + requests + " requests are queued.");
        }
        return cell;
    }

    static PlaceRequest request(int number) {
        return new PlaceRequest(
                new RequestId("h0-mx8l9u60-" + number),
                SELF,
                INCARNATION,
                new CellId(new ModelId("resumidor"), new RegionId("r0"), 0),
                new WorkspaceId("workspace-" + number % 50),
                RequestKind.DEFERRABLE,
                1_500,
                220,
                List.of(),
                NOW + 310,
                NOW + 120_000);
    }

    private static double slope(Supplier<Object> few, Supplier<Object> many, int difference) {
        long small = heapOf(few);
        long large = heapOf(many);
        return (double) (large - small) / difference;
    }

    /** Takes the smallest of several readings, because other garbage can only make a reading larger. */
    private static long heapOf(Supplier<Object> build) {
        build.get();
        long smallest = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            List<Object> retained = new ArrayList<>();
            long before = usedHeap();
            retained.add(build.get());
            smallest = Math.min(smallest, usedHeap() - before);
            if (retained.isEmpty()) {
                throw new IllegalStateException("The state was dropped while it was measured.");
            }
        }
        return smallest;
    }

    private static long usedHeap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    static Map<String, Double> all() {
        return Map.of(
                "workspace", workspace(),
                "host", host(),
                "claim", claim(),
                "engine", engine(),
                "queued_request", queuedRequest());
    }
}
