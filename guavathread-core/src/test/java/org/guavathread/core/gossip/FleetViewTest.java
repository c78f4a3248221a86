package org.guavathread.core.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that never discover each other, and against sending callers to hosts that are gone. */
class FleetViewTest {

    private static final long REPORT_INTERVAL_MILLIS = 250;

    /** Step of the virtual clock; a host sends in the first step after its interval has passed. */
    private static final long ROUND_MILLIS = 50;

    /** Time after its end until which a host may be named, by the users' rule for their shortest contact time. */
    private static final long MAX_NAMED_MILLIS = 6_000;

    private static final HostId OTHER = new HostId("h3");
    private static final DataCentreId HERE = new DataCentreId("talca");

    /** Simulated hosts that exchange reports over a network without latency; stopped hosts neither send nor receive. */
    private static final class Fleet {

        private final Map<SocketAddressText, FleetView> views = new HashMap<>();
        private final List<SocketAddressText> addresses = new ArrayList<>();
        private final Map<SocketAddressText, Long> incarnations = new HashMap<>();
        private final Map<SocketAddressText, Long> nextReports = new HashMap<>();
        private long sequence;
        private int syncs;
        private int reportsPerDatagram = 8;
        private WaitingRank best = WaitingRank.NONE;
        private List<HostReport.PriorityLoad> priorities = List.of();
        private long configuration;

        void start(int number, List<SocketAddressText> seeds, long now) {
            SocketAddressText address = address(number);
            views.put(address, new FleetView(new HostId("h" + number), now, seeds, new SplittableRandom(number)));
            incarnations.put(address, now);
            if (!addresses.contains(address)) {
                addresses.add(address);
            }
        }

        void kill(int number) {
            views.remove(address(number));
        }

        void round(long now) {
            for (SocketAddressText from : addresses) {
                FleetView view = views.get(from);
                if (view == null || now < nextReports.getOrDefault(from, 0L)) {
                    continue;
                }
                nextReports.put(from, now + view.reportIntervalMillis(REPORT_INTERVAL_MILLIS));
                HostReport own = report(from, now);
                List<HostReport> others = view.reportsToForward(reportsPerDatagram, now);
                view.markForwarded(others);
                List<HostHeartbeat> heartbeats = view.heartbeatsToForward(48, now);
                for (SocketAddressText to : view.receivers(from)) {
                    FleetView receiver = views.get(to);
                    if (receiver != null) {
                        receiver.apply(own, now);
                        others.forEach(r -> receiver.applyForwarded(r, now));
                        heartbeats.forEach(heartbeat -> receiver.apply(heartbeat, own.host(), now));
                    }
                }
                view.nextSyncSource(now).ifPresent(ahead -> sync(view, ahead, now));
            }
        }

        private void sync(FleetView view, HostReport ahead, long now) {
            syncs++;
            FleetView source = views.get(ahead.peers());
            if (source != null) {
                view.apply(report(ahead.peers(), now), now);
                source.reachableHosts(now).forEach(r -> view.applyForwarded(r, now));
            }
        }

        private HostReport report(SocketAddressText from, long now) {
            return new HostReport(
                    new HostId("h" + (from.port() - 1_000)),
                    incarnations.get(from),
                    ++sequence,
                    HERE,
                    from,
                    from,
                    HostPhase.READY,
                    new StorePosition(1, now),
                    configuration,
                    List.of(),
                    views.get(from).reachableHosts(now).size() + 1,
                    0,
                    best,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    0,
                    priorities);
        }

        FleetView view(int number) {
            return views.get(address(number));
        }
    }

    private static List<SocketAddressText> addresses(FleetView view, boolean isCutOff, long nowMillis) {
        return view.hostsForCallers(isCutOff, nowMillis).stream()
                .map(HostReport::callers)
                .toList();
    }

    private static SocketAddressText address(int number) {
        return new SocketAddressText("127.0.0.1", 1_000 + number);
    }

    @Test
    void allHostsDiscoverEachOtherFromOneLiveSeed() {
        assertDiscovery(2, 7, 77);
    }

    @Test
    void fleetOfTheTargetSizeIsDiscoveredFromOneLiveSeed() {
        assertDiscovery(410);
    }

    private static void assertDiscovery(int... sizes) {
        for (int hosts : sizes) {
            Fleet fleet = new Fleet();
            List<SocketAddressText> seeds = List.of(address(1), address(900), address(901));
            for (int i = 1; i <= hosts; i++) {
                fleet.start(i, seeds, 0);
            }
            long now = 0;
            for (; now < 20_000 && !allKnown(fleet, hosts, now); now += ROUND_MILLIS) {
                fleet.round(now);
            }
            assertTrue(allKnown(fleet, hosts, now), hosts + " hosts do not see each other after " + now + " ms");
            assertTrue(now <= 15_000, hosts + " hosts needed " + now + " ms");
        }
    }

    private static boolean allKnown(Fleet fleet, int hosts, long now) {
        for (int i = 1; i <= hosts; i++) {
            if (fleet.view(i).size() != hosts) {
                return false;
            }
        }
        return now >= 0;
    }

    /**
     * Guards against live hosts that time out in each other's view, and so lose their share of the limits, when reports
     * with load and totals are so large that a datagram has space to forward only one.
     */
    @Test
    void liveHostsStayWithinReachWhenReportsAreLarge() {
        Fleet fleet = new Fleet();
        fleet.reportsPerDatagram = 1;
        for (int i = 1; i <= 77; i++) {
            fleet.start(i, List.of(address(1)), 0);
        }
        long now = run(fleet, 0, 15_000);
        int syncsBefore = fleet.syncs;
        for (int round = 0; round < 40; round++) {
            now = run(fleet, now, 250);
            for (int i = 1; i <= 77; i++) {
                assertEquals(76, fleet.view(i).reachableHosts(now).size(), "host " + i + " at " + now);
            }
        }
        assertEquals(syncsBefore, fleet.syncs, "hosts with a complete view do not synchronise");
    }

    private static int process(long incarnation) {
        return HostHeartbeat.processOf(new HostId("h2"), incarnation);
    }

    @Test
    void aHeartbeatUpdatesThePhaseAndIsNeverOverriddenByOlderReports() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 50);
        HostReport first = fleet.report(address(2), 100);
        HostReport second = fleet.report(address(2), 200);
        view.apply(new HostHeartbeat(process(50), 9, HostPhase.READY), OTHER, 100);
        assertEquals(List.of(), view.reachableHosts(100), "a heartbeat does not identify an unknown host");
        view.apply(first, 100);
        view.apply(new HostHeartbeat(process(50), second.sequence() + 5, HostPhase.LEAVING), OTHER, 300);
        assertEquals(List.of(), view.hostsForCallers(false, 300));
        assertTrue(view.apply(second, 400), "its load is newer than the known one");
        assertEquals(List.of(), view.hostsForCallers(false, 400), "the phase of an older report is not");
        view.apply(new HostHeartbeat(process(49), 99, HostPhase.READY), OTHER, 500);
        assertEquals(List.of(), view.hostsForCallers(false, 500), "the heartbeat is of an earlier process");
    }

    @Test
    void aRestartedHostWhoseSeedsAreAllDownIsFoundByHostsThatRememberIt() {
        Fleet fleet = new Fleet();
        List<SocketAddressText> seeds = List.of(address(1));
        for (int i = 1; i <= 4; i++) {
            fleet.start(i, seeds, 0);
        }
        long now = run(fleet, 0, 3_000);
        fleet.kill(1);
        fleet.kill(2);
        now = run(fleet, now, 3_000);
        fleet.start(2, List.of(address(1)), now);
        now = run(fleet, now, 3_000);
        assertEquals(2, fleet.view(2).reachableHosts(now).size());
        assertEquals(2, fleet.view(3).reachableHosts(now).size());
    }

    @Test
    void callersAreNotSentToUnreachableHosts() {
        Fleet fleet = new Fleet();
        for (int i = 1; i <= 3; i++) {
            fleet.start(i, List.of(address(1)), 0);
        }
        long now = run(fleet, 0, 2_000);
        assertEquals(2, fleet.view(1).hostsForCallers(false, now).size());
        fleet.kill(2);
        now = run(fleet, now, FleetView.REACH_TIMEOUT_MILLIS + 300);
        assertEquals(List.of(address(3)), addresses(fleet.view(1), false, now));
        assertTrue(fleet.view(1).reachableShare(now) < 1, "the stopped host may still be spending its budget");
    }

    /** Guards against callers that are sent to hosts that ended seconds ago, by hosts of all ages. */
    @ParameterizedTest
    @ValueSource(ints = {8, 40, 90})
    void hostThatHasEndedIsNotNamedToCallersForLong(int hosts) {
        assertEndedHostsAreNotNamed(hosts);
    }

    @ParameterizedTest
    @ValueSource(ints = {136, 300, 410})
    void hostOfALargeFleetThatHasEndedIsNotNamedToCallersForLong(int hosts) {
        assertEndedHostsAreNotNamed(hosts);
    }

    private static void assertEndedHostsAreNotNamed(int hosts) {
        Fleet fleet = new Fleet();
        List<SocketAddressText> seeds = List.of(address(1), address(2), address(3));
        for (int i = 1; i <= hosts; i++) {
            fleet.start(i, seeds, 0);
        }
        long now = run(fleet, 0, 15_000);
        Set<SocketAddressText> ended = new HashSet<>();
        for (int i = 4; i <= 3 + hosts / 4; i++) {
            fleet.kill(i);
            ended.add(address(i));
        }
        long endedAtMillis = now;
        for (int next = hosts + 1; now < endedAtMillis + MAX_NAMED_MILLIS; next++) {
            // One that starts learns of the ended hosts from others.
            fleet.start(next, seeds, now);
            now = run(fleet, now, 500);
        }
        for (int i = 0; i < 10; i++) {
            assertNoneNamed(fleet, ended, now);
            now = run(fleet, now, 500);
        }
        fleet.views.forEach((address, view) -> assertTrue(
                addresses(view, false, endedAtMillis + MAX_NAMED_MILLIS + 5_000).size()
                        > 0.9 * (hosts - ended.size() - 1),
                address + " names few of the running hosts"));
    }

    private static void assertNoneNamed(Fleet fleet, Set<SocketAddressText> ended, long now) {
        fleet.views.forEach((address, view) -> {
            List<SocketAddressText> named = new ArrayList<>(addresses(view, false, now));
            named.retainAll(ended);
            assertEquals(List.of(), named, address + " at " + now);
        });
    }

    @Test
    void anOlderReportOfTheSameHostChangesNothing() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 50);
        HostReport first = fleet.report(address(2), 100);
        HostReport second = fleet.report(address(2), 200);
        assertTrue(view.apply(second, 200));
        assertFalse(view.apply(first, 300));
        assertFalse(view.apply(second, 300));
        assertEquals(
                200,
                view.mostRecentState(StorePosition.START, 0, 300)
                        .orElseThrow()
                        .store()
                        .revision());
    }

    @Test
    void aLaterEpochOfTheStoreIsMoreRecentThanAHigherRevision() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 50);
        view.apply(fleet.report(address(2), 100), 100);
        assertTrue(view.mostRecentState(new StorePosition(1, 99), 0, 200).isPresent());
        assertTrue(view.mostRecentState(new StorePosition(2, 10), 0, 200).isEmpty());
    }

    @Test
    void aLaterConfigurationIsMoreRecentThanALaterPosition() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 50);
        fleet.configuration = 9;
        view.apply(fleet.report(address(2), 100), 100);
        assertTrue(view.mostRecentState(new StorePosition(2, 10), 8, 200).isPresent());
        assertTrue(view.mostRecentState(new StorePosition(2, 10), 9, 200).isEmpty());
    }

    @Test
    void hostThatRestartsAfterItsTimeOfDayWasSetBackIsSeenAgain() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 5_000);
        HostReport ended = fleet.report(address(2), 100);
        view.apply(ended, 100);
        fleet.start(2, List.of(), 3_000);
        assertFalse(view.apply(fleet.report(address(2), 200), 200), "the later process may still be running");
        long restartedMillis = 200 + FleetView.REACH_TIMEOUT_MILLIS;
        assertTrue(view.apply(fleet.report(address(2), restartedMillis), restartedMillis));
        assertEquals(1, view.reachableHosts(restartedMillis).size());
    }

    @Test
    void reportedQueueRanksExpireSoon() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 0);
        fleet.best = WaitingRank.ON_TIME;
        view.apply(fleet.report(address(2), 100), 100);
        assertEquals(WaitingRank.ON_TIME, view.bestWaitingElsewhere(300));
        // A heartbeat does not extend the validity of the reported rank: the requests may be gone.
        view.apply(new HostHeartbeat(process(0), 50, HostPhase.READY), OTHER, 650);
        assertEquals(WaitingRank.NONE, view.bestWaitingElsewhere(700), "a heartbeat carries no queue rank");
        fleet.best = WaitingRank.NONE;
        view.apply(fleet.report(address(2), 200), 200);
        assertEquals(WaitingRank.NONE, view.bestWaitingElsewhere(300));
    }

    @Test
    void reportedWaitingRequestsExpireBeforeThoseThatRun() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        fleet.start(2, List.of(), 0);
        HostReport.PriorityLoad load =
                new HostReport.PriorityLoad(new ServiceName("s"), new Priority(0), 2, 6_400, 1, 0, 0);
        fleet.priorities = List.of(load);
        view.apply(fleet.report(address(2), 100), 100);
        assertEquals(List.of(load), view.prioritiesElsewhere(500));
        assertEquals(List.of(load.withoutWaiting()), view.prioritiesElsewhere(501));
        assertEquals(List.of(), view.prioritiesElsewhere(100 + FleetView.REACH_TIMEOUT_MILLIS + 1));
    }

    /** All hosts start again at once; the first ones to serve must not carry the callers of all while the others warm up. */
    @Test
    void fleetCanDoWithoutOneMoreHostOnlyOnceHalfOfTheOthersServe() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(), new SplittableRandom(1));
        Fleet fleet = new Fleet();
        assertFalse(view.mostServe(100), "no other host is known");
        for (int i = 2; i <= 16; i++) {
            fleet.start(i, List.of(), 0);
            boolean serves = i <= 8;
            view.apply(fleet.report(address(i), 100).withPhase(serves ? HostPhase.READY : HostPhase.STARTING), 100);
            assertEquals(i < 16, view.mostServe(100), "7 serve of " + (i - 1));
        }
        view.apply(fleet.report(address(16), 200).withPhase(HostPhase.LEAVING), 200);
        assertTrue(view.mostServe(200), "one that leaves is not waited for");
    }

    @Test
    void aMajorityHasOneLeader() {
        Fleet fleet = new Fleet();
        for (int i = 1; i <= 5; i++) {
            fleet.start(i, List.of(address(1)), 0);
        }
        long now = run(fleet, 0, 3_000);
        assertEquals(1, leaders(fleet, 5, now));
        assertTrue(fleet.view(1).isLeader(now));
        for (int i = 3; i <= 5; i++) {
            fleet.kill(i);
        }
        now = run(fleet, now, FleetView.REACH_TIMEOUT_MILLIS + 500);
        assertFalse(fleet.view(1).isLeader(now), "two of five hosts may be cut off from a majority");
        now = run(fleet, now, 20_000);
        assertFalse(fleet.view(1).isLeader(now), "the others may still be there, however long they have been silent");
    }

    private static int leaders(Fleet fleet, int hosts, long now) {
        int leaders = 0;
        for (int i = 1; i <= hosts; i++) {
            leaders += fleet.view(i).isLeader(now) ? 1 : 0;
        }
        return leaders;
    }

    @Test
    void reportsOfALargeFleetAreRarerButManyWithinTheFailureTimeout() {
        for (int hosts : new int[] {1, 8, 40, 95, 410}) {
            FleetView view = new FleetView(new HostId("h0"), 0, List.of(), new SplittableRandom(1));
            Fleet fleet = new Fleet();
            for (int i = 1; i < hosts; i++) {
                fleet.start(i, List.of(), 0);
                view.apply(fleet.report(address(i), 0), 0);
            }
            long intervalMillis = view.reportIntervalMillis(REPORT_INTERVAL_MILLIS);
            assertTrue(intervalMillis >= 250 && intervalMillis <= 750, hosts + " hosts report every " + intervalMillis);
            assertEquals(hosts - 1, view.reachableHosts(5 * intervalMillis).size(), "five reports may be missed");
        }
    }

    @Test
    void anIsolatedHostWorksAlone() {
        FleetView view = new FleetView(new HostId("h1"), 0, List.of(address(9)), new SplittableRandom(1));
        assertEquals(1, view.reachableShare(5_000));
        assertFalse(view.isLeader(5_000), "a host alone does not act for the fleet");
        assertEquals(List.of(), view.hostsForCallers(false, 5_000));
        assertEquals(List.of(address(9)), view.receivers(address(1)));
    }

    private static long run(Fleet fleet, long from, long millis) {
        long now = from;
        for (; now < from + millis; now += ROUND_MILLIS) {
            fleet.round(now);
        }
        return now;
    }
}
