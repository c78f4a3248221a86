package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.share.DemandShares;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that pile up on one server, on a failing one, or on an engine without room. */
class DispatchTest {

    private static final int MEMORY = 39_852;
    private static final long TARGET_MILLIS = 900;
    private static final EngineWork WORK = new EngineWork(3_200, 1_020, 420, 0, false);

    private final ServerLoads loads = new ServerLoads();
    private final ServerHealth health = new ServerHealth();
    private final PlainDispatch plain =
            new PlainDispatch(new DataCentreId("talca"), loads, health, new SplittableRandom(1));
    private final EngineDispatch engines = new EngineDispatch(loads, health, new SplittableRandom(2));

    private static Worker worker(String id, EngineStage stage) {
        return new Worker(
                new BackendServerId(id),
                new ServiceName("s"),
                new SocketAddressText("127.0.0.1", 80),
                new DataCentreId("talca"),
                6,
                false,
                stage,
                0);
    }

    private static List<Worker> plainServers(int count) {
        List<Worker> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(worker("p" + i, EngineStage.NONE));
        }
        return servers;
    }

    private static List<Worker> engines() {
        return List.of(
                worker("read1", EngineStage.PREFILL),
                worker("read2", EngineStage.PREFILL),
                worker("gen1", EngineStage.DECODE),
                worker("gen2", EngineStage.DECODE),
                worker("gen3", EngineStage.DECODE),
                worker("gen4", EngineStage.DECODE));
    }

    @Test
    void plainRequestsSpreadOverTheServers() {
        List<Worker> servers = plainServers(4);
        Map<BackendServerId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            Worker chosen = plain.choose(servers, Set.of(), 0).orElseThrow();
            loads.open(chosen.id(), 0, 0);
            counts.merge(chosen.id(), 1, Integer::sum);
        }
        counts.values().forEach(count -> assertEquals(10, count));
    }

    @Test
    void aTicketThatIsClosedTwiceCountsOnce() {
        BackendServerId server = new BackendServerId("p0");
        ServerLoads.Ticket first = loads.open(server, 100, 200);
        ServerLoads.Ticket second = loads.open(server, 10, 20);
        first.promptRead();
        first.close();
        first.close();
        assertEquals(1, loads.requests(server));
        assertEquals(10, loads.promptTokens(server));
        assertEquals(20, loads.heldTokens(server));
        second.close();
        assertEquals(0, loads.requests(server));
    }

    @Test
    void aServerThatCannotBeReachedIsAvoidedForAWhileAndTriedServersAreNotChosenAgain() {
        List<Worker> servers = plainServers(2);
        health.unreachable(servers.get(0).id(), 1_000);
        for (int i = 0; i < 20; i++) {
            assertEquals(servers.get(1), plain.choose(servers, Set.of(), 1_100).orElseThrow());
        }
        Set<BackendServerId> tried = new HashSet<>(Set.of(servers.get(1).id()));
        assertEquals(servers.get(0), plain.choose(servers, tried, 1_100).orElseThrow(), "never emptied by suspicion");
        tried.add(servers.get(0).id());
        assertTrue(plain.choose(servers, tried, 1_100).isEmpty());
        assertFalse(health.isAvoided(servers.get(0).id(), 60_000));
    }

    @Test
    void rareFailuresDoNotTakeAServerOut() {
        BackendServerId server = new BackendServerId("p0");
        for (int i = 0; i < 100; i++) {
            if (i % 7 == 0) {
                health.failed(server, i);
            } else {
                health.succeeded(server);
            }
            assertFalse(health.isAvoided(server, i), "14% failures are ordinary");
        }
        for (int i = 0; i < 6; i++) {
            health.failed(server, 200);
        }
        assertTrue(health.isAvoided(server, 201));
    }

    @Test
    void idleEnginesReadPromptsThemselves() {
        EnginePlan plan = engines.choose(engines(), Set.of(), WORK, MEMORY, TARGET_MILLIS, 0)
                .orElseThrow();
        assertTrue(plan.prefill().isEmpty());
        assertEquals(EngineStage.DECODE, plan.decode().stage());
    }

    @Test
    void busyEnginesGenerateWhilePrefillEnginesRead() {
        List<Worker> all = engines();
        all.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 0, MEMORY / 2));
        EnginePlan plan =
                engines.choose(all, Set.of(), WORK, MEMORY, TARGET_MILLIS, 0).orElseThrow();
        assertTrue(plan.prefill().isPresent());
    }

    @Test
    void enginesThatAreFullByTheReportsOfOthersAreNotAsked() {
        List<HostReport.ServerLoad> reports = new ArrayList<>();
        Map<BackendServerId, HostReport.ServerLoad> others = new HashMap<>();
        for (String id : List.of("gen1", "gen2", "gen3")) {
            HostReport.ServerLoad load = new HostReport.ServerLoad(new BackendServerId(id), 0, MEMORY * 2);
            reports.add(load);
            others.put(load.server(), load);
        }
        loads.others(others);
        assertEquals(
                "gen4",
                engines.choose(engines(), Set.of(), WORK, MEMORY, TARGET_MILLIS, 0)
                        .orElseThrow()
                        .decode()
                        .id()
                        .value());
        assertTrue(engines.choose(engines(), Set.of(new BackendServerId("gen4")), WORK, MEMORY, TARGET_MILLIS, 0)
                .isEmpty());
    }

    /** Guards against more small requests on an engine than its batch has places. */
    @Test
    void anEngineWhoseBatchIsFullGetsNoMoreRequests() {
        EngineWork small = new EngineWork(100, 50, 20, 0, false).withSlotTokens(MEMORY / 12);
        List<Worker> all = engines();
        for (Worker worker : all) {
            for (int i = 0; i < 14; i++) {
                loads.open(worker.id(), 0, small.occupiedTokens());
            }
        }
        assertTrue(
                engines.choose(all, Set.of(), small, MEMORY, TARGET_MILLIS, 0).isEmpty());
    }

    @Test
    void aResumedStreamIsNotReadElsewhere() {
        List<Worker> all = engines();
        all.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 9_000, MEMORY / 2));
        EnginePlan plan = engines.choose(all, Set.of(), WORK.resumed(), MEMORY, TARGET_MILLIS, 0)
                .orElseThrow();
        assertTrue(plan.prefill().isEmpty());
    }

    private static WaitingLine.Place waitingFrom(long arrivedAtMillis, long onTimeUntilMillis, long giveUpAtMillis) {
        return new WaitingLine.Place(Optional.empty(), arrivedAtMillis, onTimeUntilMillis, giveUpAtMillis);
    }

    @Test
    void waitingRequestsThatCanStillBeOnTimeGoFirst() {
        WaitingLine<String> line = new WaitingLine<>(new DemandShares());
        assertTrue(line.add("late", waitingFrom(0, 500, 10_000), 0));
        assertTrue(line.add("first", waitingFrom(600, 1_300, 10_000), 600));
        assertTrue(line.add("second", waitingFrom(700, 1_400, 10_000), 700));
        assertEquals("late", line.first(WaitingRank.NONE, 400).orElseThrow());
        assertEquals("first", line.first(WaitingRank.NONE, 900).orElseThrow());
        line.gotRoom("first", 900);
        assertEquals("second", line.first(WaitingRank.NONE, 900).orElseThrow());
        line.gotRoom("second", 1_000);
        assertEquals("late", line.first(WaitingRank.NONE, 1_000).orElseThrow());
    }

    @Test
    void aRequestThatWouldWaitInVainIsNotTaken() {
        WaitingLine<Integer> line = new WaitingLine<>(new DemandShares());
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += line.add(i, waitingFrom(0, 700, 2_700), 0) ? 1 : 0;
        }
        assertTrue(taken < 15, taken + " requests wait, though one leaves every 300 ms");
        assertTrue(line.drainMillis() >= 2_400);
    }

    @Test
    void aRequestThatCrashesServersIsRefusedByAllHostsUntilItIsAnswered() {
        CrashSuspects here = new CrashSuspects();
        CrashSuspects there = new CrashSuspects();
        long fingerprint = 42;
        here.crashed(fingerprint, 1_000);
        there.crashed(fingerprint, 1_200);
        there.crashed(fingerprint, 1_400);
        assertFalse(here.isRefused(fingerprint, 1_500));
        here.report(new HostId("there"), there.report(1_500), 1_500);
        assertTrue(here.isRefused(fingerprint, 1_600));
        assertFalse(here.isRefused(fingerprint + 1, 1_600));
        here.answered(fingerprint);
        here.report(new HostId("there"), there.report(1_700), 1_700);
        assertFalse(here.isRefused(fingerprint, 1_800), "it was answered, so the servers crashed for another reason");
    }
}
