package org.guavathread.core.membership;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against unbounded heartbeats, false suspicion after a pause, and reports of earlier incarnations. */
class PeerTableTest {

    private static final HostId PEER = new HostId("h1");

    private final PeerTable table = new PeerTable(new HostId("h0"), new Random(1));

    @Test
    void heartbeatsAreBoundedInALargeFleet() {
        table.onSheet(sheet(410));
        table.setPartners(sheet(410).hosts().keySet());
        assertTrue(table.onTick(0).size() <= PeerTable.MAX_WATCHED);
        int sent = 0;
        for (long now = 0; now < 10_000; now += 100) {
            sent += table.onTick(now).size();
        }
        assertTrue(sent <= 10 * PeerTable.MAX_WATCHED, "sent " + sent);
    }

    @Test
    void aSilentPeerIsSuspectAfterThreeSecondsAndUsableAgainAfterAReport() {
        table.onSheet(sheet(2));
        tickUntil(0, 1_000);
        table.onReport(PEER, report(5, false), 1_000);
        tickUntil(1_000, 3_900);
        assertEquals(PeerStatus.ALIVE, table.status(PEER, 3_900));
        tickUntil(3_900, 4_100);
        assertEquals(4_000, table.suspectSinceMillis(PEER, 4_100).getAsLong());
        table.onReport(PEER, report(5, false), 4_200);
        assertTrue(table.isUsable(PEER, 4_200));
        table.onReport(PEER, report(5, true), 4_300);
        assertFalse(table.isUsable(PEER, 4_300));
    }

    @Test
    void aPauseOfThisHostMakesNobodySuspect() {
        table.onSheet(sheet(2));
        tickUntil(0, 1_000);
        table.onReport(PEER, report(5, false), 1_000);
        assertEquals(PeerStatus.UNKNOWN, table.status(PEER, 60_000));
        table.onTick(60_000);
        assertEquals(PeerStatus.UNKNOWN, table.status(PEER, 60_000));
    }

    @Test
    void reportsOfAnEarlierRunAreIgnored() {
        table.onSheet(sheet(2));
        table.onReport(PEER, report(5, false), 0);
        assertTrue(table.onReport(PEER, report(9, false), 100));
        assertFalse(table.onReport(PEER, report(5, true), 200));
        assertTrue(table.isUsable(PEER, 200));
    }

    private void tickUntil(long from, long to) {
        for (long now = from; now <= to; now += 100) {
            table.onTick(now);
        }
    }

    private static PeerReport report(long incarnation, boolean draining) {
        return new PeerReport(new Incarnation(incarnation), new SheetVersion(1), draining, 0, Optional.empty());
    }

    private static Sheet sheet(int hosts) {
        SocketAddressText address = SocketAddressText.parse("127.0.0.1:80");
        List<Host> list = IntStream.range(0, hosts)
                .mapToObj(i -> new Host(
                        new HostId("h" + i), new DataCentreId("d"), address, address, address, AdminState.ACTIVE))
                .toList();
        return Sheet.builder().version(new SheetVersion(1)).hosts(list).build();
    }
}
