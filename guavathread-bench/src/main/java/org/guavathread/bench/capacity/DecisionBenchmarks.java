package org.guavathread.bench.capacity;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.guavathread.bench.configuration.GeneratedSheets;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimReply;
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
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.BudgetTake;
import org.guavathread.core.limit.HomeBudgets;
import org.guavathread.core.limit.TakeId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.placement.EngineSpec;
import org.guavathread.core.placement.LoadReport;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.placement.PlacementCell;
import org.guavathread.core.placement.PlacementSettings;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.router.service.PeerMessages;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Processor time of one decision or one message of each kind, at the target size of the design. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionBenchmarks {

    private static final HostId SELF = GeneratedSheets.host(0);

    private long now = 1_800_000_000_000L;
    private final Incarnation incarnation = new Incarnation(now - 3_600_000);
    private final FrameCodec codec = new FrameCodec(PeerMessages.registry());
    private long sequence;
    private EpochView view;
    private KeyRing keys;
    private HomeBudgets budgets;
    private List<WorkspaceId> ownWorkspaces;
    private ClaimVoter voter;
    private PlacementCell cell;

    /** Builds the state that the decisions work on. */
    @Setup
    public void build() {
        Sheet sheet = GeneratedSheets.sheet(
                1, Target.HOSTS, Set.of(), Target.DATA_CENTRES, Target.REGIONS, Target.WORKSPACES);
        view = StateSlopes.view(sheet);
        keys = KeyRing.of(sheet);
        budgets = new HomeBudgets(SELF, 1);
        budgets.onSheet(sheet, view, now);
        ownWorkspaces = sheet.workspaces().values().stream()
                .filter(w -> org.guavathread.core.limit.HomeHosts.of(w, sheet, view.current())
                        .contains(SELF))
                .map(org.guavathread.core.sheet.Workspace::id)
                .toList();
        voter = new ClaimVoter(SELF, incarnation, now - 3_600_000, ClaimSettings.defaults(300_000));
        cell = new PlacementCell(PlacementSettings.DEFAULTS);
        for (int i = 0; i < Target.ENGINES_PER_CELL; i++) {
            BackendServerId id = new BackendServerId("engine-" + i);
            BackendKind kind = i % 4 == 0 ? BackendKind.PREFILL : BackendKind.DECODE;
            cell.engineAdded(new EngineSpec(id, kind, new DataCentreId("dc0"), 20, 10_000), now);
        }
    }

    /** Finds the workspace of a presented key. */
    @Benchmark
    public Object keyLookup() {
        return keys.ownerOf("key-" + sequence++ % Target.WORKSPACES);
    }

    /** Takes budget at a home host. */
    @Benchmark
    public BudgetGrant budgetTake() {
        sequence++;
        now += sequence % 100 == 0 ? 1 : 0;
        WorkspaceId workspace = ownWorkspaces.get((int) (sequence % ownWorkspaces.size()));
        return budgets.take(new BudgetTake(new TakeId(SELF, 1, sequence), workspace, 10), view, now);
    }

    /** Votes on a new key; the clock advances so that old claims expire. */
    @Benchmark
    public ClaimReply claimVote() {
        sequence++;
        now += 10;
        ClaimKey key = new ClaimKey(
                new WorkspaceId("workspace-" + sequence % 100),
                new RouteId("booking"),
                new IdempotencyKey("key-" + sequence));
        AttemptId attempt = new AttemptId(SELF, incarnation, sequence);
        EpochView current = new EpochView(
                view.current(), now + 9_000, view.adoptedAtMillis(), view.settledAtMillis(), view.earlier());
        return voter.onRequest(new ClaimRequest(key, attempt, new HostEpoch(1), now, IssueTimes.UNKNOWN), current, now);
    }

    /** Places a request in a cell of 32 engines, ends its prefill and releases it. */
    @Benchmark
    public Object placeRequest() {
        sequence++;
        now += 5;
        if (sequence % 20 == 0) {
            for (int i = 0; i < Target.ENGINES_PER_CELL; i++) {
                cell.loadReported(new LoadReport(new BackendServerId("engine-" + i), now, 20, 0, 0), now);
            }
        }
        PlaceRequest template = StateSlopes.request((int) sequence);
        PlaceRequest request = new PlaceRequest(
                template.request(),
                template.host(),
                template.incarnation(),
                template.cell(),
                template.workspace(),
                template.kind(),
                template.promptTokens(),
                template.maxOutputTokens(),
                template.prefixHashes(),
                now + 310,
                now + 120_000);
        Object actions = cell.requestArrived(request, now);
        cell.prefillEnded(new PlacePrefillDone(request.request(), 0, 30), now);
        cell.released(new PlaceRelease(request.request(), PlaceRelease.Ending.FINISHED, 220), now);
        return actions;
    }

    /** Encodes and decodes a heartbeat. */
    @Benchmark
    public Frame heartbeat() {
        return codec.decode(codec.encode(new Frame(sequence++, false, MessageSlopes.heartbeat())));
    }

    /** Encodes and decodes a request to a cell owner. */
    @Benchmark
    public Frame placeMessage() {
        return codec.decode(codec.encode(new Frame(sequence, false, StateSlopes.request((int) sequence++))));
    }
}
