package org.guavathread.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.ServiceTerms;
import org.guavathread.core.routing.ServiceTerms.ColdTerms;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays servers that become cold under demand beyond what they take, on a virtual clock: a data centre that returns, and a
 * release whose new servers are cold. Guards against hosts that together send a cold server more than it tolerates, and
 * against cold servers that are left unused.
 */
class ColdServersLoadTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final long COLD_MILLIS = 3_000;
    private static final double PER_SECOND = 10;
    private static final double OVERSHOOT = 1.5;
    private static final double SLACK = 5;

    /** What a cold server tolerates in one second. */
    private static final int BOUND = 20;

    private static final int RULE_WINDOW_MILLIS = 1_000;
    private static final int STEP_MILLIS = 5;

    /** Time from a grant until the request reaches the server, at most. */
    private static final int MAX_TRANSIT_MILLIS = 450;

    /** Time in which hosts hear that a server is cold, at most. */
    private static final int MAX_NEWS_MILLIS = 100;

    /** Requests of hosts that have not heard, at most: what an even load brings a server in twice the time of the news. */
    private static final int MAX_UNAWARE = 4;

    private static final long BACK_MILLIS = 10_000;

    private static final List<ServiceTerms> SERVICES =
            List.of(new ServiceTerms(SERVICE, Optional.empty(), Optional.of(new ColdTerms(COLD_MILLIS, PER_SECOND))));

    private record Arrival(long atMillis, int server) {}

    /** Hosts, each with its own knowledge, whose owners grant what they ask for. */
    private static final class Fleet {

        private final List<HostId> ids = new ArrayList<>();
        private final List<ColdServers> cold = new ArrayList<>();
        private final List<ServerLimits> limits = new ArrayList<>();
        private final PriorityQueue<Arrival> arrivals =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        private final SplittableRandom random;
        private int unaware;

        private Fleet(int hostCount, SplittableRandom random) {
            this.random = random;
            for (int i = 0; i < hostCount; i++) {
                ids.add(new HostId("h" + i));
                cold.add(new ColdServers(Optional.of(new ColdServers.Tolerance(OVERSHOOT, SLACK))));
                limits.add(new ServerLimits(ids.get(i), cold.get(i)));
            }
            limits.forEach(l -> l.setHosts(ids, 1));
        }

        private void hears(int host, List<Worker> servers, long nowMillis) {
            cold.get(host).update(SERVICES, servers, nowMillis);
        }

        /** Sends a request if its owner grants it; a host that has not heard that a server is cold does not ask. */
        private boolean send(int host, Worker server, int index, long nowMillis) {
            ServerLimits asking = limits.get(host);
            if (asking.withRoom(List.of(server), nowMillis).isEmpty()) {
                return false;
            }
            Optional<PermitTerms> terms = asking.termsOf(server, SendPurpose.WORK, nowMillis);
            if (terms.isPresent()) {
                int owner = ids.indexOf(asking.ownerOf(server.id()));
                long roomInMillis = limits.get(owner).grant(server.id(), terms.get(), nowMillis);
                if (roomInMillis > 0) {
                    asking.refused(server.id(), nowMillis + roomInMillis);
                    return false;
                }
            } else {
                unaware++;
            }
            arrivals.add(new Arrival(nowMillis + random.nextInt(MAX_TRANSIT_MILLIS), index));
            return true;
        }

        /** Returns the most requests that a server got in one second. */
        private int mostInASecond() {
            Map<Integer, Deque<Long>> windows = new HashMap<>();
            int most = 0;
            while (!arrivals.isEmpty()) {
                Arrival next = arrivals.poll();
                Deque<Long> window = windows.computeIfAbsent(next.server(), i -> new ArrayDeque<>());
                window.add(next.atMillis());
                while (window.peek() <= next.atMillis() - RULE_WINDOW_MILLIS) {
                    window.remove();
                }
                most = Math.max(most, window.size());
            }
            return most;
        }
    }

    private static Worker server(int number, long startedAtMillis) {
        return new Worker(
                new BackendServerId("i-" + number),
                SERVICE,
                new SocketAddressText("127.0.0.1", 1_000 + number),
                new DataCentreId("talca"),
                16,
                false,
                EngineStage.DECODE,
                new SoftwareVersion("v1"),
                startedAtMillis);
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "8, 1", "90, 1", "400, 1", "8, 25", "90, 25", "400, 25"})
    void dataCentreThatReturnsColdInABurstGetsWhatItTakes(int hostCount, int serverCount) {
        for (int seed = 1; seed <= 3; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fleet fleet = new Fleet(hostCount, random);
            List<Worker> servers = IntStream.range(0, serverCount)
                    .mapToObj(i -> server(i, BACK_MILLIS))
                    .toList();
            IntStream.range(0, hostCount).forEach(h -> fleet.hears(h, servers, BACK_MILLIS));
            int sent = 0;
            int demandPerStep = Math.max(1, serverCount);
            for (long now = BACK_MILLIS; now < BACK_MILLIS + COLD_MILLIS; now += STEP_MILLIS) {
                for (int i = 0; i < demandPerStep; i++) {
                    int index = random.nextInt(serverCount);
                    sent += fleet.send(random.nextInt(hostCount), servers.get(index), index, now) ? 1 : 0;
                }
            }
            String run = hostCount + " hosts, seed " + seed + ": ";
            int most = fleet.mostInASecond();
            assertTrue(most <= BOUND, run + most + " in a second");
            double used = sent / (serverCount * COLD_MILLIS / 1_000.0);
            assertTrue(used >= 0.7 * PER_SECOND, run + used + " a second used");
        }
    }

    /** The news of a server that becomes cold reach hosts late, and its owner changes meanwhile. */
    @Property(seed = "21", tries = 60)
    void boundHoldsWithLateNewsAndAChangedOwner(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 0, max = 3) int size,
            @ForAll @IntRange(min = 0, max = 2_900) int changeAfterMillis) {
        int hostCount = new int[] {1, 8, 90, 400}[size];
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(hostCount, random);
        Worker before = server(0, 1);
        Worker cold = server(0, 1).coldUntil(BACK_MILLIS + COLD_MILLIS);
        long[] heardMillis = new long[hostCount];
        for (int h = 0; h < hostCount; h++) {
            fleet.hears(h, List.of(before), 0);
            heardMillis[h] = BACK_MILLIS + random.nextInt(MAX_NEWS_MILLIS);
        }
        int owner = fleet.ids.indexOf(fleet.limits.get(0).ownerOf(before.id()));
        long[] dropsOwnerMillis = new long[hostCount];
        for (int h = 0; h < hostCount; h++) {
            dropsOwnerMillis[h] = BACK_MILLIS + changeAfterMillis + random.nextInt(500);
        }
        List<HostId> rest = fleet.ids.stream()
                .filter(id -> !id.equals(fleet.ids.get(owner)))
                .toList();
        for (long now = BACK_MILLIS; now < BACK_MILLIS + COLD_MILLIS; now += STEP_MILLIS) {
            for (int h = 0; h < hostCount && hostCount > 1; h++) {
                if (h != owner && now >= dropsOwnerMillis[h]) {
                    fleet.limits.get(h).setHosts(rest, rest.size() / (double) hostCount);
                    dropsOwnerMillis[h] = Long.MAX_VALUE;
                }
            }
            boolean isOwnerDown = now >= BACK_MILLIS + changeAfterMillis;
            for (int i = 0; i < 2; i++) {
                int host = random.nextInt(hostCount);
                boolean hasHeard = now >= heardMillis[host];
                boolean asksOwner =
                        fleet.ids.get(owner).equals(fleet.limits.get(host).ownerOf(before.id()));
                boolean isDown = hostCount > 1 && isOwnerDown && (host == owner || asksOwner);
                boolean mayBeSent = hasHeard || fleet.unaware < MAX_UNAWARE;
                if (!isDown && mayBeSent) {
                    fleet.send(host, hasHeard ? cold : before, 0, now);
                }
            }
        }
        int most = fleet.mostInASecond();
        assertTrue(most <= BOUND, hostCount + " hosts: " + most + " in a second");
    }

    @Test
    void hostsThatAreEachCutOffDoNotSendOneEach() {
        SplittableRandom random = new SplittableRandom(1);
        Fleet fleet = new Fleet(90, random);
        Worker server = server(0, BACK_MILLIS);
        for (int h = 0; h < 90; h++) {
            fleet.limits.get(h).setHosts(List.of(fleet.ids.get(h)), 1 / 90.0);
            fleet.hears(h, List.of(server), BACK_MILLIS);
        }
        for (long now = BACK_MILLIS; now < BACK_MILLIS + COLD_MILLIS; now += STEP_MILLIS) {
            for (int h = 0; h < 90; h++) {
                fleet.send(h, server, 0, now);
            }
        }
        assertTrue(fleet.mostInASecond() <= BOUND);
    }

    /** Half of a pool is replaced, one server after the other: the new ones are empty, and every host prefers them. */
    @Test
    void newServersOfAReleaseAreUsedLastWhileOthersServeInTime() {
        ServerLoads loads = new ServerLoads();
        EngineDispatch dispatch = new EngineDispatch(loads, new ServerHealth(), new SplittableRandom(1));
        ColdServers cold = new ColdServers(Optional.of(new ColdServers.Tolerance(OVERSHOOT, SLACK)));
        List<Worker> pool = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            boolean isNew = i >= 4;
            pool.add(server(i, isNew ? BACK_MILLIS : 1));
            if (!isNew) {
                loads.open(pool.get(i).id(), 0, 12_000);
            }
        }
        cold.update(SERVICES, pool, BACK_MILLIS);
        EngineWork work = new EngineWork(3_000, 70, 50, 0, false);
        List<Worker> warm = cold.notCold(pool, BACK_MILLIS);
        for (int i = 0; i < 50; i++) {
            EnginePlan plan = dispatch.chooseWarmFirst(
                            pool, warm, Set.of(), work, 40_000, 900, RoomLimit.NONE_KEPT, BACK_MILLIS)
                    .orElseThrow();
            assertTrue(warm.contains(plan.decode()), plan.toString());
        }
        warm.forEach(w -> loads.open(w.id(), 0, 28_000));
        EnginePlan full = dispatch.chooseWarmFirst(
                        pool, warm, Set.of(), work, 40_000, 900, RoomLimit.NONE_KEPT, BACK_MILLIS)
                .orElseThrow();
        assertTrue(cold.isCold(full.decode(), BACK_MILLIS), "the warm engines are full");
        List<Worker> later = cold.notCold(pool, BACK_MILLIS + COLD_MILLIS);
        assertEquals(pool, later);
    }
}
