package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a lease or a right that a host must not have, in small hand-written schedules. */
class EpochTrackerTest {

    private final Map<HostId, EpochTracker> trackers = new LinkedHashMap<>();
    private final Set<HostId> unreachable = new HashSet<>();
    private BiPredicate<String, String> cut = (from, to) -> false;
    private long now = 1_000_000;

    @Test
    void aColdStartWaitsForLeasesOfEarlierRuns() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(9_500);
        assertFalse(view("a").holdsLease(now));
        run(2_500);
        assertTrue(view("a").holdsLease(now) && view("a").isSettled(now));
        assertEquals(new HostEpoch(1), view("a").current().epoch());
    }

    @Test
    void aSingleHostHasItsLeaseAtOnce() {
        start(sheet(1, "a"), "a");
        run(100);
        assertTrue(view("a").holdsLease(now) && view("a").isSettled(now));
    }

    @Test
    void keptRightsGoOnAndNewRightsWaitUntilTheEpochIsSettled() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(13_000);
        start(sheet(2, "a", "b", "c", "d"), "d");
        publish(sheet(2, "a", "b", "c", "d"), "a", "b", "c");
        run(3_000);
        assertTrue(view("a").holdsLease(now));
        assertFalse(view("a").isSettled(now));
        assertTrue(view("a").mayUse(members -> true, now));
        assertFalse(view("a").mayUse(members -> members.hosts().size() == 4, now));
        run(9_000);
        assertTrue(view("a").isSettled(now) && view("d").isSettled(now));
        assertTrue(view("d").holdsLease(now));
    }

    @Test
    void aHostThatIsCutOffLosesItsLeaseBeforeTheNextEpochSettles() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(13_000);
        unreachable.add(new HostId("c"));
        publish(sheet(2, "a", "b"), "a", "b");
        while (!view("a").isSettled(now)) {
            run(100);
        }
        assertFalse(view("c").holdsLease(now));
    }

    @Test
    void aRestartedHostTakesTheEpochNumberAndTheEarlierEpochsFromItsWitnesses() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(13_000);
        publish(sheet(2, "a", "b", "c", "d"), "a", "b", "c");
        publish(sheet(3, "a", "b", "c", "d"), "a", "b", "c");
        run(14_000);
        start(sheet(3, "a", "b", "c", "d"), "c");
        run(3_000);
        assertEquals(new HostEpoch(2), view("c").current().epoch());
        assertTrue(view("c").holdsLease(now) && view("c").isSettled(now));
        assertEquals(1, view("c").earlier().size());
    }

    @Test
    void aRestartedWitnessThatReachesTooFewOthersSupportsNoLease() {
        start(sheet(1, "a", "b", "c", "d", "e"), "a", "b", "c", "d", "e");
        run(30_000);
        unreachable.addAll(List.of(new HostId("b"), new HostId("c")));
        start(sheet(1, "a", "b", "c", "d", "e"), "a");
        run(60_000);
        assertFalse(view("d").holdsLease(now));
        unreachable.clear();
        run(3_000);
        assertTrue(view("d").holdsLease(now) && view("a").holdsLease(now));
    }

    @Test
    void aHostThatSkippedAnEpochWithItsOwnSetLosesItsRightsUntilTheNewEpochSettles() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(13_000);
        publish(sheet(2, "a", "b"), "a", "b");
        publish(sheet(3, "a", "b", "c"), "a", "b", "c");
        run(5_000);
        assertEquals(new HostEpoch(3), view("c").current().epoch());
        assertFalse(view("c").isSettled(now));
        run(9_000);
        assertTrue(view("c").holdsLease(now) && view("c").isSettled(now));
    }

    /** A confirmation that a witness lost in a restart must not count: its next incarnation supports the old epoch. */
    @Test
    void aConfirmationOfAnEarlierRunOfAWitnessDoesNotSettle() {
        start(sheet(1, "a", "b", "c", "d", "e"), "a", "b", "c", "d", "e");
        run(30_000);
        publish(sheet(2, "b", "c", "d", "e"), "e", "b");
        cut = (x, y) -> !"be".contains(x) || !"be".contains(y);
        run(2_000);
        cut = (x, y) -> x.equals("e") || y.equals("e");
        start(sheet(1, "a", "b", "c", "d", "e"), "b");
        run(2_000);
        cut = (x, y) -> "ce".contains(x) != "ce".contains(y);
        publish(sheet(2, "b", "c", "d", "e"), "c");
        run(20_000);
        assertTrue(view("a").holdsLease(now));
        assertFalse(view("e").isSettled(now));
    }

    /** Each region grants leases independently, so all of them must confirm the next epoch. */
    @Test
    void anEpochDoesNotSettleWhileAnotherRegionGoesOnWithTheOldOne() {
        for (String first : List.of("abc", "def")) {
            trackers.clear();
            cut = (x, y) -> false;
            start(twoRegions(1, "abcdef"), "a", "b", "c", "d", "e", "f");
            run(30_000);
            cut = (x, y) -> "abc".contains(x) != "abc".contains(y);
            String other = first.equals("abc") ? "def" : "abc";
            String removed = other.substring(0, 1);
            publish(twoRegions(2, "abcdef".replace(removed, "")), first.split(""));
            run(30_000);
            assertTrue(view(removed).holdsLease(now));
            assertFalse(view(first.substring(1, 2)).isSettled(now));
            assertTrue(view(first.substring(1, 2)).holdsLease(now), "kept rights go on");
        }
    }

    /** A host that skipped epoch 2 settles epoch 3 without the witnesses of epoch 2, so they alone must not support a lease. */
    @Test
    void theWitnessesOfAnUnsettledEpochAloneSupportNoLease() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(30_000);
        cut = (x, y) -> "ade".contains(x) != "ade".contains(y);
        start(sheet(2, "a", "d", "e"), "d", "e");
        publish(sheet(2, "a", "d", "e"), "a");
        publish(sheet(3, "b", "c"), "b", "c");
        run(20_000);
        assertTrue(view("b").isSettled(now) && view("b").holdsLease(now));
        assertFalse(view("a").holdsLease(now));
    }

    /** After two changes in quick succession, leases of the first epoch may still run when the third epoch starts. */
    @Test
    void anEpochDoesNotSettleWhileLeasesOfTheEpochBeforeTheLastOneMayRun() {
        start(sheet(1, "a", "b", "c"), "a", "b", "c");
        run(30_000);
        cut = (x, y) -> "ab".contains(x) != "ab".contains(y);
        start(sheet(2, "c", "d", "e"), "d", "e");
        publish(sheet(2, "c", "d", "e"), "c");
        run(1_000);
        publish(sheet(3, "c", "d"), "c", "d", "e");
        run(30_000);
        assertTrue(view("a").holdsLease(now));
        assertFalse(view("c").isSettled(now));
    }

    /** A delayed reply must not extend the lease beyond what the witness confirmed when it was pinged. */
    @Test
    void theLeaseIsCountedFromTheTimeOfAsking() {
        start(sheet(1, "a", "b"), "a", "b");
        run(30_000);
        EpochTracker a = trackers.get(new HostId("a"));
        HostId b = new HostId("b");
        long askedAt = now;
        WitnessPing ping = new WitnessPing(a.epoch(), new SheetVersion(1), new Incarnation(1_000_000), askedAt, false);
        WitnessReply reply = trackers.get(b).onPing(new HostId("a"), ping, now);
        now += 8_000;
        a.onReply(b, reply, now);
        assertEquals(askedAt + 9_000, view("a").leaseDeadlineMillis());
    }

    @Test
    void aRightMustBeHeldInEveryEpochThatIsStillLive() {
        EpochMembers current = new EpochMembers(new HostEpoch(3), List.of());
        EpochView view = new EpochView(current, now + 1, now, EpochView.NOT_SETTLED, List.of(live(2), live(1)));
        assertTrue(view.mayUse(members -> true, now));
        assertFalse(view.mayUse(members -> members.epoch().value() > 1, now));
        assertFalse(view.mayUse(members -> true, now + 1));
    }

    private static EpochView.Superseded live(long epoch) {
        return new EpochView.Superseded(new EpochMembers(new HostEpoch(epoch), List.of()), 0, EpochView.NOT_SETTLED);
    }

    private EpochView view(String host) {
        return trackers.get(new HostId(host)).view(now);
    }

    private void start(Sheet sheet, String... hosts) {
        for (String host : hosts) {
            trackers.put(new HostId(host), new EpochTracker(new HostId(host), new Incarnation(now), now));
        }
        publish(sheet, hosts);
    }

    private void publish(Sheet sheet, String... hosts) {
        for (String host : hosts) {
            trackers.get(new HostId(host)).onSheet(sheet, now);
        }
    }

    private void run(long millis) {
        for (long end = now + millis; now < end; now += 100) {
            trackers.forEach((host, tracker) -> tracker.onTick(now).forEach(ping -> {
                if (trackers.containsKey(ping.to())
                        && !unreachable.contains(host)
                        && !unreachable.contains(ping.to())) {
                    tracker.onReply(ping.to(), trackers.get(ping.to()).onPing(host, ping.message(), now), now);
                }
            }));
        }
    }

    /** Builds a sheet with hosts a, b and c in region r0 and the others in region r1. */
    private static Sheet twoRegions(long version, String active) {
        List<Host> hosts = new ArrayList<>();
        for (String host : active.split("")) {
            DataCentreId dataCentre = new DataCentreId("abc".contains(host) ? "dc0" : "dc1");
            SocketAddressText address = SocketAddressText.parse("127.0.0.1:" + (1_000 + host.charAt(0)));
            hosts.add(new Host(new HostId(host), dataCentre, address, address, address, AdminState.ACTIVE));
        }
        return Sheet.builder()
                .version(new SheetVersion(version))
                .dataCentres(List.of(
                        new DataCentre(new DataCentreId("dc0"), new RegionId("r0")),
                        new DataCentre(new DataCentreId("dc1"), new RegionId("r1"))))
                .hosts(hosts)
                .build();
    }

    private static Sheet sheet(long version, String... active) {
        List<Host> hosts = new ArrayList<>();
        for (String host : active) {
            SocketAddressText address = SocketAddressText.parse("127.0.0.1:" + (1_000 + host.charAt(0)));
            hosts.add(new Host(new HostId(host), new DataCentreId("dc"), address, address, address, AdminState.ACTIVE));
        }
        return Sheet.builder()
                .version(new SheetVersion(version))
                .dataCentres(List.of(new DataCentre(new DataCentreId("dc"), new RegionId("r"))))
                .hosts(hosts)
                .build();
    }
}
