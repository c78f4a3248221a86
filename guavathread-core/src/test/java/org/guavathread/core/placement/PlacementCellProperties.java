package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.BackendKind;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks for over-committed memory, lost or duplicate replies, leaked engine memory and starved workspaces. */
class PlacementCellProperties {

    /** Only the latest requests are cancelled, so that most of them are still queued or running. */
    private static final int RECENT = 12;

    private static final int BUSY_STEPS = 3_000;

    /** Covers the last deadline (20 s), reservation expiry 3 s later, and orphans, removed 10 s after a host dies. */
    private static final int QUIET_STEPS = 6_000;

    @Property(seed = "101", tries = 60, shrinking = ShrinkingMode.OFF)
    void everyRequestGetsOneAnswerAndEnginesEndEmpty(@ForAll long seed) {
        CellSimulation simulation = run(seed, CellSimulation.Variant.FULL);
        assertEquals(0, simulation.cell.openReservations(), "reservations were not removed after their deadlines");
        assertEquals(0, simulation.cell.queuedRequests(), "requests are still queued after their deadlines");
        assertEquals(0, heldOnEngines(simulation), "engines hold requests that no longer exist");
        assertTrue(
                simulation.maxReplyDelayMillis <= CellSimulation.STEP_MILLIS,
                "answered " + simulation.maxReplyDelayMillis + " ms late");
        for (RequestId id : simulation.submitted.keySet()) {
            int count = simulation.replies.getOrDefault(id, 0);
            assertTrue(
                    count == 1 || (count == 0 && simulation.cancelled.contains(id)), id + " got " + count + " answers");
        }
    }

    /** Verifies that the property above fails without the orphan sweep and the cancellations. */
    @Example
    void withoutSweepAndCancellationsEnginesKeepOrphans() {
        assertTrue(heldOnEngines(run(1, CellSimulation.Variant.NO_SWEEP_NO_CANCEL)) > 0);
    }

    @Property(seed = "102", tries = 40, shrinking = ShrinkingMode.OFF)
    void ledgerNeverExceedsTheMemoryOfAnEngine(@ForAll long seed) {
        Random random = new Random(seed);
        CellSimulation simulation = new CellSimulation(seed, CellSimulation.Variant.FULL);
        List<RequestId> ids = new ArrayList<>();
        for (int i = 0; i < BUSY_STEPS; i++) {
            randomEvent(simulation, random, ids);
            simulation.step();
            for (String engine : List.of("d0", "d1")) {
                int reserved = simulation.cell.reservedPieces(new BackendServerId(engine));
                assertTrue(reserved >= 0 && reserved <= CellSimulation.MEMORY_PIECES, engine + " has " + reserved);
            }
        }
    }

    @Property(seed = "103", tries = 30, shrinking = ShrinkingMode.OFF)
    void floodOfOneWorkspaceDoesNotStarveAnother(@ForAll long seed) {
        Map<String, Integer> grants = grantsUnderFlood(seed, false);
        assertTrue(grants.getOrDefault("quiet", 0) >= 30, "quiet workspace got " + grants);
    }

    /** Verifies that the property above fails with a single first-come, first-served queue. */
    @Example
    void orderOfArrivalStarvesTheQuietWorkspace() {
        assertTrue(grantsUnderFlood(1, true).getOrDefault("quiet", 0) < 30);
    }

    @Example
    void aReservationThatIsNotRenewedExpiresAndIsCancelled() {
        CellSimulation simulation = new CellSimulation(3, CellSimulation.Variant.FULL);
        steps(simulation, 40);
        simulation.killHost(1);
        simulation.killHost(2);
        RequestId id = null;
        while (id == null || !simulation.submitted.containsKey(id)) {
            id = simulation.submit(0, RequestKind.IDEMPOTENT, 500, 20_000);
        }
        assertEquals(1, simulation.cell.openReservations());
        simulation.cancelByCaller(id);
        steps(simulation, 700);
        assertEquals(0, simulation.cell.openReservations(), "a reservation was not removed after its deadline");
    }

    @Example
    void aNewOwnerRebuildsTheLedgerFromRenewals() {
        PlacementCell cell = new PlacementCell(PlacementSettings.DEFAULTS);
        BackendServerId decode = new BackendServerId("d");
        cell.engineAdded(new EngineSpec(decode, BackendKind.DECODE, new DataCentreId("a"), 4, 100), 0);
        PlaceRenew.Running running =
                new PlaceRenew.Running(new RequestId("r"), new WorkspaceId("w"), decode, 3, 2_500, 10);
        CellId id = new CellId(new ModelId("m"), new RegionId("r"), 0);
        PlaceRenew renew = new PlaceRenew(id, new HostId("h"), new Incarnation(1), List.of(running));
        cell.renewed(renew, 10);
        assertEquals(3, cell.reservedPieces(decode));
        cell.released(new PlaceRelease(new RequestId("r"), PlaceRelease.Ending.FINISHED, 10), 20);
        List<PlacementAction> late = cell.renewed(renew, 30);
        assertEquals(0, cell.reservedPieces(decode), "a delayed renewal restored a reservation");
        assertFalse(late.isEmpty(), "the request of a delayed renewal was not cancelled on the engine");
    }

    private static CellSimulation run(long seed, CellSimulation.Variant variant) {
        Random random = new Random(seed);
        CellSimulation simulation = new CellSimulation(seed, variant);
        List<RequestId> ids = new ArrayList<>();
        for (int i = 0; i < BUSY_STEPS; i++) {
            randomEvent(simulation, random, ids);
            simulation.step();
        }
        steps(simulation, QUIET_STEPS);
        return simulation;
    }

    private static void randomEvent(CellSimulation simulation, Random random, List<RequestId> ids) {
        int choice = random.nextInt(100);
        if (choice < 20) {
            RequestKind kind = random.nextBoolean() ? RequestKind.DEFERRABLE : RequestKind.IDEMPOTENT;
            ids.add(simulation.submit(
                    random.nextInt(4), kind, 50 + random.nextInt(4_000), 500 + random.nextInt(19_000)));
        } else if (choice < 23 && !ids.isEmpty()) {
            simulation.cancelByCaller(ids.get(ids.size() - 1 - random.nextInt(Math.min(RECENT, ids.size()))));
        } else if (choice == 23 && random.nextInt(100) == 0) {
            simulation.killHost(1 + random.nextInt(CellSimulation.HOSTS - 1));
        }
    }

    private static void steps(CellSimulation simulation, int count) {
        for (int i = 0; i < count; i++) {
            simulation.step();
        }
    }

    private static int heldOnEngines(CellSimulation simulation) {
        return simulation.engines.values().stream().mapToInt(Map::size).sum();
    }

    /** Queues 500 urgent requests of one workspace before 40 deferrable ones of another, and grants 100 of them. */
    private static Map<String, Integer> grantsUnderFlood(long seed, boolean oneWorkspace) {
        Random random = new Random(seed);
        FairQueue queue = new FairQueue(PlacementSettings.DEFAULTS);
        for (int i = 0; i < 540; i++) {
            boolean quiet = i >= 500;
            PlaceRequest request = new PlaceRequest(
                    new RequestId((quiet ? "quiet-" : "flood-") + i),
                    new HostId("h"),
                    new Incarnation(1),
                    new CellId(new ModelId("m"), new RegionId("r"), 0),
                    new WorkspaceId(oneWorkspace ? "all" : quiet ? "quiet" : "flood"),
                    quiet && !oneWorkspace ? RequestKind.DEFERRABLE : RequestKind.IDEMPOTENT,
                    500 + random.nextInt(1_000),
                    100,
                    List.of(),
                    100_000 + i,
                    200_000);
            queue.add(new FairQueue.Item(request, 100, 1, 100_000 + i, 200_000));
        }
        Map<String, Integer> grants = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            FairQueue.Item item = queue.peek(0);
            queue.take(item);
            grants.merge(item.request().request().value().substring(0, 5), 1, Integer::sum);
        }
        return grants;
    }
}
