package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.share.FairShareTracker;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against spending engine capacity on late requests while others could still meet their latency target. */
class FairAdmissionQueueTest {

    private static final Optional<WorkspaceId> BURST = Optional.of(new WorkspaceId("burst"));
    private static final Optional<WorkspaceId> CALM = Optional.of(new WorkspaceId("calm"));

    private static FairAdmissionQueue.Attributes attributes(Optional<WorkspaceId> workspace, long arrivedAtMillis) {
        return new FairAdmissionQueue.Attributes(
                workspace,
                arrivedAtMillis,
                arrivedAtMillis + 450,
                arrivedAtMillis + 2_700,
                FairAdmissionQueue.Lane.NEW);
    }

    @Test
    void lateRequestsYieldToRequestsOfOtherHosts() {
        FairAdmissionQueue<String> queue = new FairAdmissionQueue<>(new FairShareTracker());
        queue.add("late", attributes(CALM, 0), 0);
        assertEquals(Optional.empty(), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.ON_TIME_ABOVE_PART, 600));
        assertEquals(Optional.of("late"), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.LATE, 600));
        queue.add("on time", attributes(CALM, 600), 600);
        assertEquals(Optional.of("on time"), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.ON_TIME, 600));
        assertEquals(WaitingRank.ON_TIME, queue.bestRank(600));
        assertEquals(List.of(), queue.expired(2_699));
        assertEquals(List.of("late"), queue.expired(2_700), "it is refused although it never came first");
    }

    @Test
    void aBurstDelaysOnlyItsOwnWorkspace() {
        FairShareTracker shares = new FairShareTracker();
        shares.recordUsage(BURST.get(), 30_000, 0);
        shares.recordUsage(CALM.get(), 3_000, 0);
        FairAdmissionQueue<String> queue = new FairAdmissionQueue<>(shares);
        queue.add("burst", attributes(BURST, 10), 10);
        assertTrue(queue.mustQueue(attributes(BURST, 20), false, 20));
        assertFalse(queue.mustQueue(attributes(CALM, 20), false, 20));
        queue.add("calm", attributes(CALM, 20), 20);
        assertEquals(Optional.of("calm"), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 30));
        queue.remove("calm");
        assertEquals(Optional.of("burst"), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 30));
        assertEquals(Optional.empty(), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.ON_TIME, 30));
        shares.recordUsage(CALM.get(), 3_000, 20_000);
        assertFalse(shares.isAboveFairShare(BURST, 20_000), "the burst is over");
    }

    @Test
    void streamsThatGoOnNeitherWaitForNewRequestsNorHoldThemUp() {
        FairAdmissionQueue<String> queue = new FairAdmissionQueue<>(new FairShareTracker());
        FairAdmissionQueue.Attributes goesOn =
                new FairAdmissionQueue.Attributes(CALM, 100, 100, 2_800, FairAdmissionQueue.Lane.CONTINUATION);
        queue.add("new", attributes(CALM, 0), 0);
        assertFalse(queue.mustQueue(goesOn, false, 100));
        queue.add("goes on", goesOn, 100);
        FairAdmissionQueue.Lane lane = FairAdmissionQueue.Lane.CONTINUATION;
        assertEquals(Optional.of("goes on"), queue.first(lane, WaitingRank.ON_TIME, 2_000));
        assertEquals(Optional.of("new"), queue.first(FairAdmissionQueue.Lane.NEW, WaitingRank.NONE, 2_000));
        queue.remove("new");
        assertFalse(queue.mustQueue(attributes(CALM, 200), false, 200), "engines of another version may have room");
        assertEquals(WaitingRank.NONE, queue.bestRank(200), "other hosts do not leave their room to it");
    }

    /** A request of the simulated load. */
    private record Request(int host, Optional<WorkspaceId> workspace, long arrivedAtMillis) {}

    /** Result of a simulation, by workspace. */
    private static final class Outcome {
        private final Map<Optional<WorkspaceId>, Integer> sent = new HashMap<>();
        private final Map<Optional<WorkspaceId>, Integer> onTime = new HashMap<>();
        private int late;
        private int admitted;

        private double onTimeShare(Optional<WorkspaceId> workspace) {
            return onTime.getOrDefault(workspace, 0) / (double) sent.get(workspace);
        }
    }

    /**
     * Simulates a burst at twice the engines' capacity, in which one workspace sends six times the load of the other: 7
     * hosts and 4 engines, each of which holds 11 requests for 3.5 s. Hosts try to admit every 60 ms, and their reports
     * reach each other after 100 ms.
     */
    private static Outcome burst(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FairAdmissionQueue<Request>> queues = new ArrayList<>();
        List<List<WaitingRank>> rankHistory = new ArrayList<>();
        FairShareTracker shares = new FairShareTracker();
        for (int host = 0; host < 7; host++) {
            queues.add(new FairAdmissionQueue<>(shares));
        }
        List<Long> freeAtMillis = new ArrayList<>();
        for (int i = 0; i < 44; i++) {
            freeAtMillis.add((long) (random.nextDouble() * 3_500));
        }
        Outcome outcome = new Outcome();
        for (long now = 0; now < 20_000; now += 5) {
            long at = now;
            if (random.nextDouble() < 0.025 * 5) {
                Optional<WorkspaceId> workspace = random.nextInt(7) == 0 ? CALM : BURST;
                Request request = new Request(random.nextInt(7), workspace, now);
                outcome.sent.merge(workspace, 1, Integer::sum);
                shares.recordUsage(workspace.get(), 4_000, now);
                queues.get(request.host()).add(request, attributes(workspace, now), now);
            }
            rankHistory.add(queues.stream().map(queue -> queue.bestRank(at)).toList());
            List<WaitingRank> receivedRanks = rankHistory.get(Math.max(0, rankHistory.size() - 20));
            for (int host = 0; host < 7; host++) {
                if ((now + host * 10L) % 60 < 5) {
                    admitQueued(queues.get(host), bestOfOthers(receivedRanks, host), freeAtMillis, outcome, now);
                }
            }
        }
        return outcome;
    }

    private static WaitingRank bestOfOthers(List<WaitingRank> ranks, int host) {
        WaitingRank best = WaitingRank.NONE;
        for (int i = 0; i < ranks.size(); i++) {
            if (i != host && best.ranksBelow(ranks.get(i))) {
                best = ranks.get(i);
            }
        }
        return best;
    }

    private static void admitQueued(
            FairAdmissionQueue<Request> queue,
            WaitingRank elsewhere,
            List<Long> freeAtMillis,
            Outcome outcome,
            long now) {
        Optional<Request> first = queue.first(FairAdmissionQueue.Lane.NEW, elsewhere, now);
        while (first.isPresent()) {
            Request request = first.get();
            if (now > request.arrivedAtMillis() + 2_700) {
                queue.remove(request);
            } else {
                int slot = freeSlot(freeAtMillis, now);
                if (slot < 0) {
                    return;
                }
                freeAtMillis.set(slot, now + 3_500);
                queue.admitted(request, now);
                outcome.admitted++;
                if (now > request.arrivedAtMillis() + 450) {
                    outcome.late++;
                } else {
                    outcome.onTime.merge(request.workspace(), 1, Integer::sum);
                }
            }
            first = queue.first(FairAdmissionQueue.Lane.NEW, elsewhere, now);
        }
    }

    private static int freeSlot(List<Long> freeAtMillis, long now) {
        for (int i = 0; i < freeAtMillis.size(); i++) {
            if (freeAtMillis.get(i) <= now) {
                return i;
            }
        }
        return -1;
    }

    /** At twice the capacity half of the requests are refused, so nearly all admitted ones can meet their target. */
    @Test
    void capacityGoesToRequestsOnTimeInABurst() {
        for (long seed = 1; seed <= 10; seed++) {
            Outcome outcome = burst(seed);
            double late = outcome.late / (double) outcome.admitted;
            assertTrue(late <= 0.1, "seed " + seed + ": " + late + " of the capacity went to late requests");
            assertTrue(outcome.admitted >= 220, "seed " + seed + ": " + outcome.admitted + " of 250 slots were used");
            assertTrue(
                    outcome.onTimeShare(CALM) >= 0.8,
                    "seed " + seed + ": " + outcome.onTimeShare(CALM) + " of the calm workspace on time");
        }
    }
}
