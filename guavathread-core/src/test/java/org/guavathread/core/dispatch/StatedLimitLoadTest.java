package org.guavathread.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import org.guavathread.core.gossip.HostReport.StatedLimit;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays demand beyond the stated limit of a server, on a virtual clock, at hosts that hear of each other late and of
 * which one restarts. Guards against servers in need that get more than they state, and against limits left unused.
 */
class StatedLimitLoadTest {

    private static final long WINDOW_MILLIS = 4_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long END_MILLIS = 40_000;
    private static final long STEP_MILLIS = 5;
    private static final long REPORT_INTERVAL_MILLIS = 250;
    private static final long RESTART_MILLIS = 15_000;
    private static final long BACK_MILLIS = 18_000;
    private static final long SILENT_MILLIS = 300;

    /** Time from the grant of a request until it reaches the server, at most. */
    private static final int MAX_DELAY_MILLIS = 200;

    /** Share of a stated limit that demand beyond it must get: what a restart and the changed division cost is less. */
    private static final double MIN_USED_SHARE = 0.7;

    private static final Worker SERVER = new Worker(
            new BackendServerId("i-1"),
            new ServiceName("llm"),
            new SocketAddressText("127.0.0.1", 1_000),
            new DataCentreId("talca"),
            8,
            false,
            EngineStage.DECODE,
            new SoftwareVersion("v1"),
            1);

    private final ServerLimits limits = new ServerLimits(new HostId("h1"), new ColdServers(Optional.empty()));

    @ParameterizedTest
    @CsvSource({
        "1, 0.3, 10",
        "1, 1.5, 10",
        "7, 0.3, 10",
        "7, 1.1, 10",
        "7, 2, 60",
        "7, 20, 200",
        "95, 0.3, 50",
        "95, 1, 50",
        "95, 3.7, 100",
        "95, 40, 400",
        "410, 1, 400"
    })
    void serverGetsWhatItStatesAndNoMore(int hostCount, double perSecond, int demandPerSecond) {
        for (int seed = 1; seed <= 5; seed++) {
            List<Long> sends = play(hostCount, perSecond, demandPerSecond, new SplittableRandom(seed));
            String run = hostCount + " hosts, limit " + perSecond + ", seed " + seed + ": ";
            Deque<Long> window = new ArrayDeque<>();
            long bound = sends.get(0) + CONTACT_MILLIS;
            int used = 0;
            for (long at : sends) {
                if (at >= bound) {
                    used++;
                    window.add(at);
                    while (window.peek() <= at - WINDOW_MILLIS) {
                        window.remove();
                    }
                    assertTrue(
                            window.size() <= 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5,
                            run + window.size() + " in 4 s");
                }
            }
            double allowed = perSecond * (END_MILLIS - bound) / 1_000;
            assertTrue(used >= MIN_USED_SHARE * allowed, run + used + " sent, " + allowed + " allowed");
        }
    }

    private static List<Long> play(int hostCount, double perSecond, int demandPerSecond, SplittableRandom random) {
        List<HostId> ids = new ArrayList<>();
        List<ServerLimits> hosts = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            ids.add(new HostId("h" + i));
            hosts.add(new ServerLimits(ids.get(i), new ColdServers(Optional.empty())));
        }
        hosts.forEach(h -> h.setHosts(ids, 1));
        int restarted = hostCount > 1 ? ownerOf(hosts, ids, perSecond) : -1;
        List<Long> sends = new ArrayList<>();
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            if (restarted >= 0 && now == BACK_MILLIS) {
                hosts.set(restarted, new ServerLimits(ids.get(restarted), new ColdServers(Optional.empty())));
            }
            int down = now >= RESTART_MILLIS && now < BACK_MILLIS ? restarted : -1;
            if (now % REPORT_INTERVAL_MILLIS == 0) {
                gossip(hosts, ids, down, now, random);
            }
            double expected = demandPerSecond * STEP_MILLIS / 1_000.0;
            int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                int host = random.nextInt(hostCount);
                if (host != down && isGranted(hosts, ids, host, down, now)) {
                    sends.add(now + random.nextInt(MAX_DELAY_MILLIS));
                    hosts.get(host).state(SERVER.id(), OptionalDouble.of(perSecond), now);
                }
            }
        }
        sends.sort(Long::compare);
        return sends;
    }

    /** Returns the host that owns the limit; it is the one to restart. */
    private static int ownerOf(List<ServerLimits> hosts, List<HostId> ids, double perSecond) {
        ServerLimits other = new ServerLimits(ids.get(0), new ColdServers(Optional.empty()));
        other.setHosts(ids, 1);
        other.state(SERVER.id(), OptionalDouble.of(perSecond), 0);
        return ids.indexOf(other.ownerOf(SERVER.id()));
    }

    private static boolean isGranted(List<ServerLimits> hosts, List<HostId> ids, int host, int down, long now) {
        ServerLimits asking = hosts.get(host);
        Optional<PermitTerms> terms = asking.termsOf(SERVER, SendPurpose.WORK, now);
        if (terms.isEmpty()) {
            return true;
        }
        if (asking.withRoom(List.of(SERVER), now).isEmpty()) {
            return false;
        }
        int index = ids.indexOf(asking.ownerOf(SERVER.id()));
        long roomInMillis = index == down ? SILENT_MILLIS : hosts.get(index).grant(SERVER.id(), terms.get(), now);
        if (roomInMillis > 0) {
            asking.refused(SERVER.id(), now + roomInMillis);
        }
        return roomInMillis == 0;
    }

    /** Each host passes its statements to four others; a host that is down is missed by the others one after the other. */
    private static void gossip(
            List<ServerLimits> hosts, List<HostId> ids, int down, long now, SplittableRandom random) {
        for (int from = 0; from < hosts.size(); from++) {
            if (from == down) {
                continue;
            }
            List<StatedLimit> report = hosts.get(from).report(now);
            for (int i = 0; i < 4; i++) {
                hosts.get(random.nextInt(hosts.size())).merge(report, now);
            }
            List<HostId> ready = new ArrayList<>(ids);
            if (down >= 0 && now >= RESTART_MILLIS + 1_000 + random.nextInt(500)) {
                ready.remove(ids.get(down));
            }
            hosts.get(from).setHosts(ready, ready.size() / (double) ids.size());
        }
    }

    private boolean hasRoom(long nowMillis) {
        return !limits.withRoom(List.of(SERVER), nowMillis).isEmpty();
    }

    @Test
    void hostThatWasRefusedWaitsUntilItsTurn() {
        limits.state(SERVER.id(), OptionalDouble.of(1), 0);
        long first = limits.grant(SERVER.id(), PermitTerms.stated(1), 100);
        long second = limits.grant(SERVER.id(), PermitTerms.stated(1), 100);
        assertTrue(first > 0 && second > first, first + " and " + second);
        limits.refused(SERVER.id(), 100 + first);
        assertFalse(hasRoom(99 + first));
        assertEquals(1, limits.roomInMillis(List.of(SERVER), 99 + first));
        assertTrue(hasRoom(100 + first));
        assertEquals(0, limits.grant(SERVER.id(), PermitTerms.stated(1), 100 + first));
    }

    @Test
    void serverThatTakesNothingGetsOneRequestInAWindow() {
        int granted = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            granted += limits.grant(SERVER.id(), PermitTerms.stated(0), now) == 0 ? 1 : 0;
        }
        assertTrue(granted > 0 && granted <= END_MILLIS / WINDOW_MILLIS, granted + " requests");
    }

    @Test
    void newOwnerAssumesThatTheLimitIsInUse() {
        assertTrue(limits.grant(SERVER.id(), PermitTerms.stated(1), 0) > 0);
        limits.setHosts(List.of(new HostId("h2")), 1);
        limits.setHosts(List.of(new HostId("h1")), 1);
        assertTrue(limits.grant(SERVER.id(), PermitTerms.stated(1), 10_000) > 0);
    }

    @ParameterizedTest
    @ValueSource(doubles = {999_999_999, Double.POSITIVE_INFINITY})
    void limitBeyondAllTrafficCostsNoMemory(double perSecond) {
        assertEquals(1, ServerLimits.windowSize(0, 1));
        assertTrue(ServerLimits.windowSize(perSecond, 1) <= 50_000);
        limits.state(SERVER.id(), OptionalDouble.of(perSecond), 0);
        assertTrue(limits.termsOf(SERVER, SendPurpose.WORK, 0).isEmpty());
        limits.merge(List.of(new StatedLimit(SERVER.id(), perSecond, 0)), 10);
        assertTrue(limits.termsOf(SERVER, SendPurpose.WORK, 0).isEmpty());
    }

    @Test
    void endOfALimitIsReportedForAWhileOnly() {
        limits.state(SERVER.id(), OptionalDouble.of(1), 0);
        for (long now = 1_000; now <= 20_000; now += 1_000) {
            limits.state(SERVER.id(), OptionalDouble.empty(), now);
        }
        assertEquals(1, limits.report(5_000).size());
        assertEquals(List.of(), limits.report(20_000));
    }

    @Test
    void latestStatementHoldsWhoeverReceivedIt() {
        limits.state(SERVER.id(), OptionalDouble.of(1), 1_000);
        limits.merge(List.of(new StatedLimit(SERVER.id(), Double.POSITIVE_INFINITY, 200)), 1_100);
        assertEquals(1, limits.size(), "the limit was stated after the other host's answer");
        limits.merge(List.of(new StatedLimit(SERVER.id(), Double.POSITIVE_INFINITY, 50)), 1_300);
        assertEquals(0, limits.size());
        assertTrue(limits.termsOf(SERVER, SendPurpose.WORK, 0).isEmpty() && hasRoom(1_300));
        assertEquals(List.of(SERVER), limits.withoutLimit(List.of(SERVER), 0));
    }

    @Test
    void limitIsForgottenWithItsProcess() {
        limits.state(SERVER.id(), OptionalDouble.of(1), 5_000);
        limits.retain(List.of(), 6_000);
        limits.retain(List.of(startedAt(7_000)), 8_000);
        assertEquals(OptionalDouble.of(1), limits.limitOf(SERVER.id()), "of a process that may have stated it");
        limits.retain(List.of(startedAt(7_001)), 8_000);
        assertEquals(OptionalDouble.empty(), limits.limitOf(SERVER.id()));
        assertEquals(List.of(), limits.report(8_000));
    }

    @Test
    void limitOfAServerThatHasGoneIsForgottenAfterAWhile() {
        limits.state(SERVER.id(), OptionalDouble.of(1), 5_000);
        limits.retain(List.of(), 604_999);
        assertEquals(1, limits.size());
        limits.retain(List.of(), 605_000);
        assertEquals(0, limits.size());
    }

    private static Worker startedAt(long millis) {
        return new Worker(
                SERVER.id(),
                SERVER.service(),
                SERVER.address(),
                SERVER.dataCentre(),
                SERVER.slots(),
                false,
                SERVER.stage(),
                SERVER.softwareVersion(),
                millis);
    }
}
