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
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.share.FairShareTracker;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against dispatching to an overloaded server, to a failing one, or to an engine without free memory. */
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
        return worker(id, stage, "v1");
    }

    private static Worker worker(String id, EngineStage stage, String version) {
        return new Worker(
                new BackendServerId(id),
                new ServiceName("s"),
                new SocketAddressText("127.0.0.1", 80),
                new DataCentreId("talca"),
                6,
                false,
                stage,
                new SoftwareVersion(version),
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
    void unreachableServersAreAvoidedForAWhileAndTriedServersAreNotChosenAgain() {
        List<Worker> servers = plainServers(2);
        health.unreachable(servers.get(0).id(), 1_000);
        for (int i = 0; i < 20; i++) {
            assertEquals(servers.get(1), plain.choose(servers, Set.of(), 1_100).orElseThrow());
        }
        Set<BackendServerId> tried = new HashSet<>(Set.of(servers.get(1).id()));
        assertEquals(
                servers.get(0),
                plain.choose(servers, tried, 1_100).orElseThrow(),
                "a pool whose servers are all avoided is not emptied");
        tried.add(servers.get(0).id());
        assertTrue(plain.choose(servers, tried, 1_100).isEmpty());
        assertFalse(health.isAvoided(servers.get(0).id(), 60_000));
    }

    @Test
    void occasionalFailuresDoNotMakeAServerAvoided() {
        BackendServerId server = new BackendServerId("p0");
        for (int i = 0; i < 100; i++) {
            if (i % 7 == 0) {
                health.failed(server, i);
            } else {
                health.succeeded(server, 0);
            }
            assertFalse(health.isAvoided(server, i), "a failure rate of 14% is tolerated");
        }
        for (int i = 0; i < 6; i++) {
            health.failed(server, 200);
        }
        assertTrue(health.isAvoided(server, 201));
    }

    @Test
    void idleDecodeEnginesPrefillLocally() {
        EnginePlan plan = engines.choose(engines(), Set.of(), WORK, MEMORY, TARGET_MILLIS, 0)
                .orElseThrow();
        assertTrue(plan.prefill().isEmpty());
        assertEquals(EngineStage.DECODE, plan.decode().stage());
    }

    @Test
    void busyDecodeEnginesLeavePrefillToPrefillEngines() {
        List<Worker> all = engines();
        all.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 0, MEMORY / 2));
        EnginePlan plan =
                engines.choose(all, Set.of(), WORK, MEMORY, TARGET_MILLIS, 0).orElseThrow();
        assertTrue(plan.prefill().isPresent());
    }

    /** A short prompt would meet the target on a busy decode engine too, but delay all requests that it decodes. */
    @Test
    void busyDecodeEnginesLeaveShortPromptsToPrefillEngines() {
        List<Worker> all = engines();
        all.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 0, MEMORY / 2));
        EngineWork shortPrompt = new EngineWork(1_000, 1_020, 420, 0, false);
        EnginePlan plan = engines.choose(all, Set.of(), shortPrompt, MEMORY, TARGET_MILLIS, 0)
                .orElseThrow();
        assertTrue(plan.prefill().isPresent());
    }

    @Test
    void enginesThatAreFullByReportsOfOtherHostsAreNotChosen() {
        List<HostReport.ServerLoad> reports = new ArrayList<>();
        Map<BackendServerId, HostReport.ServerLoad> others = new HashMap<>();
        for (String id : List.of("gen1", "gen2", "gen3")) {
            HostReport.ServerLoad load = new HostReport.ServerLoad(new BackendServerId(id), 0, MEMORY * 2);
            reports.add(load);
            others.put(load.server(), load);
        }
        loads.replaceRemoteLoads(others);
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

    /** Guards against sending an engine more small requests than its batch has slots. */
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
    void aResumedStreamIsNotSentToAPrefillEngine() {
        List<Worker> all = engines();
        all.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 9_000, MEMORY / 2));
        EnginePlan plan = engines.choose(all, Set.of(), WORK.resumed(), MEMORY, TARGET_MILLIS, 0)
                .orElseThrow();
        assertTrue(plan.prefill().isEmpty());
    }

    private static FairAdmissionQueue.Attributes attributes(
            long arrivedAtMillis, long onTimeUntilMillis, long expiresAtMillis) {
        return new FairAdmissionQueue.Attributes(
                Optional.empty(), arrivedAtMillis, onTimeUntilMillis, expiresAtMillis, FairAdmissionQueue.Lane.NEW);
    }

    @Test
    void waitingRequestsThatCanStillBeOnTimeGoFirst() {
        FairAdmissionQueue<String> queue = new FairAdmissionQueue<>(new FairShareTracker());
        assertTrue(queue.add("late", attributes(0, 500, 10_000), 0));
        assertTrue(queue.add("first", attributes(600, 1_300, 10_000), 600));
        assertTrue(queue.add("second", attributes(700, 1_400, 10_000), 700));
        assertEquals(
                "late",
                queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 400).orElseThrow());
        assertEquals(
                "first",
                queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 900).orElseThrow());
        queue.admitted("first", 900);
        assertEquals(
                "second",
                queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 900).orElseThrow());
        queue.admitted("second", 1_000);
        assertEquals(
                "late",
                queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 1_000)
                        .orElseThrow());
    }

    @Test
    void aRequestThatWouldExpireInTheQueueIsRejected() {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(new FairShareTracker());
        int accepted = 0;
        for (int i = 0; i < 100; i++) {
            accepted += queue.add(i, attributes(0, 700, 2_700), 0) ? 1 : 0;
        }
        assertTrue(accepted < 15, accepted + " requests are queued, though one is admitted every 300 ms");
        assertTrue(queue.drainMillis() >= 2_400);
    }

    @Test
    void promptIsReadAtTheVersionThatGenerates() {
        List<Worker> mixed = List.of(
                worker("read-old", EngineStage.PREFILL, "v1"),
                worker("read-new", EngineStage.PREFILL, "v2"),
                worker("gen-old", EngineStage.DECODE, "v1"),
                worker("gen-new", EngineStage.DECODE, "v2"),
                worker("gen-newest", EngineStage.DECODE, "v3"));
        // Decode engines that are busy with prompts make a separate prefill worthwhile.
        mixed.stream().filter(w -> w.stage().generates()).forEach(w -> loads.open(w.id(), 20_000, 2_000));
        Set<String> pairs = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            EnginePlan plan = engines.choose(mixed, Set.of(), WORK, MEMORY, TARGET_MILLIS, 0)
                    .orElseThrow();
            Worker prefill = plan.prefill().orElseThrow();
            assertEquals(plan.decode().softwareVersion(), prefill.softwareVersion());
            pairs.add(prefill.id() + " " + plan.decode().id());
        }
        assertEquals(Set.of("read-old gen-old", "read-new gen-new"), pairs);
    }
}
