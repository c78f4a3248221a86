package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.dispatch.CostOrder.Standing;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.share.FairShareTracker;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against delaying or refusing a request that costs its caller more than another one. */
class CostOrderTest {

    private static final Optional<WorkspaceId> CALM = Optional.of(new WorkspaceId("calm"));
    private static final Optional<WorkspaceId> BURST = Optional.of(new WorkspaceId("burst"));

    private final FairShareTracker shares = new FairShareTracker();
    private final CostOrder order = new CostOrder(shares);

    private static Standing urgent(Optional<WorkspaceId> workspace, long arrivedAtMillis) {
        return Standing.arrivedAt(arrivedAtMillis)
                .priority(Optional.of(new Priority(0)))
                .workspace(workspace)
                .until(arrivedAtMillis + 400, arrivedAtMillis + 2_400)
                .work(3_200)
                .build();
    }

    private static Standing calm(long arrivedAtMillis) {
        return Standing.arrivedAt(arrivedAtMillis)
                .priority(Optional.of(new Priority(2)))
                .workspace(CALM)
                .until(arrivedAtMillis + 1_000, arrivedAtMillis + 6_000)
                .work(3_200)
                .build();
    }

    private void assertOrder(long nowMillis, Standing... expected) {
        List<Standing> sorted = new ArrayList<>(List.of(expected));
        sorted.sort(Comparator.comparingLong(Standing::arrivedAtMillis));
        sorted.sort(order.dearestFirst(nowMillis));
        assertEquals(List.of(expected), sorted);
    }

    @Test
    void urgentRequestsGoFirstWhileTheyCanBeOnTime() {
        assertOrder(100, urgent(CALM, 50), urgent(CALM, 60), calm(0), calm(10));
    }

    @Test
    void lateUrgentRequestWaitsForThoseThatCanBeOnTimeButIsNotRefusedForThem() {
        assertOrder(1_000, calm(100), urgent(CALM, 0));
        assertOrder(1_950, urgent(CALM, 0), calm(1_000));
        assertOrder(1_950, urgent(CALM, 1_900), urgent(CALM, 0), calm(1_000));
    }

    @Test
    void workspaceWhoseBurstCausedTheQueueWaitsBehindOthersOfItsPriorityOnly() {
        shares.recordUsage(BURST.get(), 50_000, 0);
        shares.recordUsage(CALM.get(), 3_000, 0);
        assertOrder(100, urgent(CALM, 50), urgent(BURST, 0), calm(10));
    }

    @Test
    void requestsOfEqualPriorityKeepTheOrderOfTheirRanks() {
        Standing late = Standing.arrivedAt(0).until(450, 2_700).build();
        Standing later = Standing.arrivedAt(100).until(550, 2_800).build();
        Standing onTime = Standing.arrivedAt(2_500).until(2_950, 5_200).build();
        assertOrder(2_650, onTime, late, later);
    }

    @Test
    void priorityIsGuaranteedAPartOfTheRoomWhileOthersExceedIt() {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(shares);
        int lessUrgent = 0;
        for (int i = 0; i < 400; i++) {
            long now = i * 50L;
            FairAdmissionQueue.Lane lane = FairAdmissionQueue.Lane.NEW;
            queue.add(i, new FairAdmissionQueue.Attributes(i % 2 == 0 ? urgent(CALM, now) : calm(now), lane), now);
            queue.expired(now).forEach(queue::remove);
            if (i % 2 == 1) {
                Integer first = queue.first(lane, WaitingRank.NONE, now).orElseThrow();
                queue.countAdmission(
                        new FairAdmissionQueue.Attributes(first % 2 == 0 ? urgent(CALM, now) : calm(now), lane), now);
                queue.admitted(first, now);
                lessUrgent += first % 2;
            }
        }
        assertTrue(lessUrgent >= 15 && lessUrgent <= 40, lessUrgent + " of 200 admitted requests were less urgent");
    }

    @Test
    void requestThatUrgentOnesHaveOvertakenIsRefusedAtOnce() {
        FairAdmissionQueue<String> queue = new FairAdmissionQueue<>(shares);
        FairAdmissionQueue.Lane lane = FairAdmissionQueue.Lane.NEW;
        Standing hopeless = Standing.arrivedAt(0)
                .priority(Optional.of(new Priority(2)))
                .until(300, 900)
                .build();
        queue.add("less urgent", new FairAdmissionQueue.Attributes(hopeless, lane), 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(List.of(), queue.overtaken(10));
            queue.add("urgent " + i, new FairAdmissionQueue.Attributes(urgent(CALM, 10 + i), lane), 10 + i);
        }
        queue.add("urgent", new FairAdmissionQueue.Attributes(urgent(CALM, 20), lane), 20);
        List<FairAdmissionQueue.Hopeless<String>> overtaken = queue.overtaken(20);
        assertEquals(1, overtaken.size());
        assertEquals("less urgent", overtaken.get(0).request());
        assertEquals(Optional.of("urgent 0"), overtaken.get(0).ahead());
    }

    @Test
    void requestsOfEqualPriorityDoNotOvertakeEachOther() {
        FairAdmissionQueue<Integer> queue = new FairAdmissionQueue<>(shares);
        for (int i = 0; i < 12; i++) {
            Standing standing = Standing.arrivedAt(i).until(i + 450, i + 2_700).build();
            queue.add(i, new FairAdmissionQueue.Attributes(standing, FairAdmissionQueue.Lane.NEW), i);
        }
        assertEquals(List.of(), queue.overtaken(2_600));
    }
}
