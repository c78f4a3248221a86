package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.share.DemandShares;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against room that is given to requests whose callers gain little, while others could still be on time. */
class WaitingLineTest {

    private static final Optional<WorkspaceId> BURST = Optional.of(new WorkspaceId("burst"));
    private static final Optional<WorkspaceId> CALM = Optional.of(new WorkspaceId("calm"));

    private static WaitingLine.Place place(Optional<WorkspaceId> workspace, long arrivedAtMillis) {
        return new WaitingLine.Place(workspace, arrivedAtMillis, arrivedAtMillis + 450, arrivedAtMillis + 2_700);
    }

    @Test
    void lateRequestsLeaveTheRoomToRequestsOfOtherHosts() {
        WaitingLine<String> line = new WaitingLine<>(new DemandShares());
        line.add("late", place(CALM, 0), 0);
        assertEquals(Optional.empty(), line.first(WaitingRank.ON_TIME_ABOVE_PART, 600));
        assertEquals(Optional.of("late"), line.first(WaitingRank.LATE, 600));
        line.add("on time", place(CALM, 600), 600);
        assertEquals(Optional.of("on time"), line.first(WaitingRank.ON_TIME, 600));
        assertEquals(WaitingRank.ON_TIME, line.best(600));
        assertEquals(List.of(), line.overdue(2_699));
        assertEquals(List.of("late"), line.overdue(2_700), "it is refused although it never came first");
    }

    @Test
    void workspaceInABurstWaitsForItself() {
        DemandShares shares = new DemandShares();
        shares.used(BURST.get(), 30_000, 0);
        shares.used(CALM.get(), 3_000, 0);
        WaitingLine<String> line = new WaitingLine<>(shares);
        line.add("burst", place(BURST, 10), 10);
        assertTrue(line.isBehind(place(BURST, 20), 20));
        assertFalse(line.isBehind(place(CALM, 20), 20));
        line.add("calm", place(CALM, 20), 20);
        assertEquals(Optional.of("calm"), line.first(WaitingRank.NONE, 30));
        line.ended("calm");
        assertEquals(Optional.of("burst"), line.first(WaitingRank.NONE, 30));
        assertEquals(Optional.empty(), line.first(WaitingRank.ON_TIME, 30));
        shares.used(CALM.get(), 3_000, 20_000);
        assertFalse(shares.isAboveEqualPart(BURST, 20_000), "the burst is over");
    }

    /** One request of the simulated load. */
    private record Request(int host, Optional<WorkspaceId> workspace, long arrivedAtMillis) {}

    /** What callers got. */
    private static final class Outcome {
        private final Map<Optional<WorkspaceId>, Integer> asked = new HashMap<>();
        private final Map<Optional<WorkspaceId>, Integer> onTime = new HashMap<>();
        private int late;
        private int all;

        private double onTimeShare(Optional<WorkspaceId> workspace) {
            return onTime.getOrDefault(workspace, 0) / (double) asked.get(workspace);
        }
    }

    /**
     * The load of a burst at twice the engines' room, with one workspace at six times the usual of the other: 7 hosts
     * before 4 engines that hold 11 requests each for 3.5 s. Hosts try every 60 ms and hear of each other after 100 ms.
     */
    private static Outcome burst(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WaitingLine<Request>> lines = new ArrayList<>();
        List<List<WaitingRank>> heard = new ArrayList<>();
        DemandShares shares = new DemandShares();
        for (int host = 0; host < 7; host++) {
            lines.add(new WaitingLine<>(shares));
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
                outcome.asked.merge(workspace, 1, Integer::sum);
                shares.used(workspace.get(), 4_000, now);
                lines.get(request.host()).add(request, place(workspace, now), now);
            }
            heard.add(lines.stream().map(line -> line.best(at)).toList());
            List<WaitingRank> news = heard.get(Math.max(0, heard.size() - 20));
            for (int host = 0; host < 7; host++) {
                if ((now + host * 10L) % 60 < 5) {
                    tryRoom(lines.get(host), bestOfOthers(news, host), freeAtMillis, outcome, now);
                }
            }
        }
        return outcome;
    }

    private static WaitingRank bestOfOthers(List<WaitingRank> ranks, int host) {
        WaitingRank best = WaitingRank.NONE;
        for (int i = 0; i < ranks.size(); i++) {
            if (i != host && best.yieldsTo(ranks.get(i))) {
                best = ranks.get(i);
            }
        }
        return best;
    }

    private static void tryRoom(
            WaitingLine<Request> line, WaitingRank elsewhere, List<Long> freeAtMillis, Outcome outcome, long now) {
        Optional<Request> first = line.first(elsewhere, now);
        while (first.isPresent()) {
            Request request = first.get();
            if (now > request.arrivedAtMillis() + 2_700) {
                line.ended(request);
            } else {
                int place = free(freeAtMillis, now);
                if (place < 0) {
                    return;
                }
                freeAtMillis.set(place, now + 3_500);
                line.gotRoom(request, now);
                outcome.all++;
                if (now > request.arrivedAtMillis() + 450) {
                    outcome.late++;
                } else {
                    outcome.onTime.merge(request.workspace(), 1, Integer::sum);
                }
            }
            first = line.first(elsewhere, now);
        }
    }

    private static int free(List<Long> freeAtMillis, long now) {
        for (int i = 0; i < freeAtMillis.size(); i++) {
            if (freeAtMillis.get(i) <= now) {
                return i;
            }
        }
        return -1;
    }

    /** At twice the room nearly all room can go to requests that are on time: half of them are turned away anyway. */
    @Test
    void roomGoesToRequestsOnTimeInABurstBeyondTheEnginesMemory() {
        for (long seed = 1; seed <= 10; seed++) {
            Outcome outcome = burst(seed);
            double late = outcome.late / (double) outcome.all;
            assertTrue(late <= 0.1, "seed " + seed + ": " + late + " of the room went to late requests");
            assertTrue(outcome.all >= 220, "seed " + seed + ": room was used " + outcome.all + " times of 250");
            assertTrue(
                    outcome.onTimeShare(CALM) >= 0.8,
                    "seed " + seed + ": " + outcome.onTimeShare(CALM) + " of the calm workspace on time");
        }
    }
}
