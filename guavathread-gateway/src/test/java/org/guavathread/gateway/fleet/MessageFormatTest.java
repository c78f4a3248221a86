package org.guavathread.gateway.fleet;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.dispatch.CrashTrait;
import org.guavathread.core.dispatch.PermitTerms;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.core.gossip.HostHeartbeat;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.publish.StateSnapshot;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.registry.DepartedServers;
import org.guavathread.core.registry.DepartureNotice;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.share.SpendingNotice;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.stream.StreamOriginNotice;
import org.guavathread.core.stream.StreamOrigins;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.wire.CodecException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a change of the messages that hosts of the builds since 96b7d09 send and read. */
class MessageFormatTest {

    private static final SocketAddressText ADDRESS = new SocketAddressText("10.1.0.36", 7_740);
    private static final BackendServerId SERVER = new BackendServerId("i-1");
    private static final DepartedServers.Departure STATED =
            new DepartedServers.Departure(SERVER, 1_700_000_000_000L, -1, true, 600_000);
    private static final DepartedServers.Departure REMOVED =
            new DepartedServers.Departure(new BackendServerId("i-2"), 1_700_000_000_001L, 3, false, 599_000);

    private static final HostReport BUSY = new HostReport(
            new HostId("edge-1"),
            1_700_000_000_000L,
            300,
            new DataCentreId("curico"),
            new SocketAddressText("10.1.0.36", 8_360),
            ADDRESS,
            HostPhase.READY,
            new StorePosition(2, 70_000),
            7,
            List.of(new HostReport.WorkspaceTotal(new WorkspaceId("kacu"), 1.5)),
            95,
            3,
            WaitingRank.LATE,
            List.of(new HostReport.ServerLoad(SERVER, 30_000, 39_852)),
            List.of(new BackendServerId("i-2")),
            List.of(new HostReport.CrashEvidence(
                    new CrashTrait(-5, 1_000), List.of(new HostReport.CrashSighting(-70_000, 4_000, true)))),
            List.of(new HostReport.StatedLimit(SERVER, 1.1, 250)),
            true,
            1_500,
            List.of(new HostReport.PriorityLoad(new ServiceName("sums"), new Priority(0), 2, 6_400, 3, 1, 70_000)));

    private static final HostReport IDLE = new HostReport(
            new HostId("edge-2"),
            1_700_000_000_500L,
            1,
            new DataCentreId("talca"),
            new SocketAddressText("10.1.0.37", 8_360),
            new SocketAddressText("10.1.0.37", 7_740),
            HostPhase.STARTING,
            StorePosition.START,
            0,
            List.of(),
            1,
            0,
            WaitingRank.NONE,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            false,
            0,
            List.of());

    private static final GossipPacket PACKET =
            new GossipPacket(BUSY, List.of(IDLE), List.of(new HostHeartbeat(-1, 70_000, HostPhase.LEAVING)));

    private static final String PACKET_HEX =
            "940100c293dc0014a6656467652d31cf0000018bcfe56800cd012ca663757269636f92a931302e312e302e3336cd20a8"
                    + "92a931302e312e302e3336cd1e3ca552454144599202ce00011170079192a46b616375cb3ff80000000000005f03a44c"
                    + "4154459193a3692d31cd7530cd9bac91a3692d32919292fbcd03e89193d2fffeee90cd0fa0c39193a3692d31cb3ff199"
                    + "999999999accfac3cd05dc9197a473756d730002cd19000301ce0001117091dc0014a6656467652d32cf000001"
                    + "8bcfe569f401a574616c636192a931302e312e302e3337cd20a892a931302e312e302e3337cd1e3ca85354415254494e"
                    + "4792000000900100a44e4f4e4590909090c200909193ffce00011170a74c454156494e47";

    /** The same packet as builds from 96b7d09 to 9333393 send it, whose reports have 18 components. */
    private static final String PACKET_OF_18_FIELDS_HEX =
            "940100c293dc0012a6656467652d31cf0000018bcfe56800cd012ca663757269636f92a931302e312e302e3336cd20a8"
                    + "92a931302e312e302e3336cd1e3ca552454144599202ce00011170079192a46b616375cb3ff80000000000005f03a44c"
                    + "4154459193a3692d31cd7530cd9bac91a3692d32919292fbcd03e89193d2fffeee90cd0fa0c39193a3692d31cb3ff199"
                    + "999999999accfac391dc0012a6656467652d32cf0000018bcfe569f401a574616c636192a931302e312e302e3337cd20"
                    + "a892a931302e312e302e3337cd1e3ca85354415254494e4792000000900100a44e4f4e4590909090c29193ffce000111"
                    + "70a74c454156494e47";

    private final GossipSocket socket = new GossipSocket(ADDRESS, message -> {}, new GatewayMetrics());

    private static void assertFormat(String hex, byte[] bytes) {
        assertEquals(hex, HexFormat.of().formatHex(bytes));
    }

    private void assertDatagram(String hex, PeerMessage message) {
        assertFormat(hex, socket.encode(message));
        assertEquals(message, socket.decode(HexFormat.of().parseHex(hex)));
    }

    @Test
    void gossipPacket() {
        assertDatagram(PACKET_HEX, PACKET);
    }

    /** The report has one more field, as later builds may send it. */
    @Test
    void gossipPacketOfALaterBuild() {
        String longer = PACKET_HEX
                .replace("dc0014a6656467652d31", "dc0015a6656467652d31")
                .replace("ce0001117091dc", "ce00011170" + "920193c0c2a161" + "91dc");
        assertEquals(PACKET, socket.decode(HexFormat.of().parseHex(longer)));
    }

    /** Hosts of builds before 96b7d09 refuse reports with the last three components. */
    @Test
    void gossipPacketOfAnEarlierBuild() {
        String earlier = PACKET_OF_18_FIELDS_HEX
                .replace("dc0012", "dc0011")
                .replace("accfac391dc", "accfa91dc")
                .replace("a44e4f4e4590909090c2", "a44e4f4e4590909090");
        GossipPacket read = (GossipPacket) socket.decode(HexFormat.of().parseHex(earlier));
        assertEquals(IDLE, read.others().get(0));
        assertFalse(read.own().isCutOff());
        assertEquals(List.of(17), socket.fieldsFor(ADDRESS));
        assertFormat(announced(earlier), socket.encode(PACKET, 17));
    }

    /** Hosts of builds from 96b7d09 to 9333393 report neither capacity nor priorities. */
    @Test
    void gossipPacketWithoutCapacityAndPriorities() {
        GossipPacket read = (GossipPacket) socket.decode(HexFormat.of().parseHex(PACKET_OF_18_FIELDS_HEX));
        assertEquals(IDLE, read.others().get(0));
        assertEquals(List.of(), read.own().priorities());
        assertEquals(0, read.own().capacity());
        assertTrue(read.own().isCutOff());
        assertEquals(List.of(18), socket.fieldsFor(ADDRESS));
        assertFormat(announced(PACKET_OF_18_FIELDS_HEX), socket.encode(PACKET, 18));
    }

    /** The correlation, which hosts of all builds ignore, is the number of components that the sender reads. */
    private static String announced(String hex) {
        return hex.replaceFirst("^940100", "940114");
    }

    @Test
    void formatOfAHostIsLearnedFromItsLastPacket() {
        assertEquals(List.of(18, 17), socket.fieldsFor(ADDRESS));
        socket.decode(HexFormat.of().parseHex(PACKET_HEX));
        assertEquals(List.of(20), socket.fieldsFor(ADDRESS));
        socket.decode(socket.encode(PACKET, 17));
        assertEquals(List.of(20), socket.fieldsFor(ADDRESS));
        assertFormat(announced(PACKET_HEX), socket.encode(PACKET, 20));
        assertThrows(CodecException.class, () -> socket.encode(PACKET, 16));
    }

    @Test
    void streamOrigin() {
        assertDatagram(
                "940200c294d38000000000000000a27632cd36b0ab46495253545f4556454e54",
                new StreamOriginNotice(
                        Long.MIN_VALUE, new SoftwareVersion("v2"), 14_000, StreamOrigins.Source.FIRST_EVENT));
        assertDatagram(
                "940200c29405a2763101a752554e4e494e47",
                new StreamOriginNotice(5, new SoftwareVersion("v1"), 1, StreamOrigins.Source.RUNNING));
    }

    @Test
    void departureNotice() {
        assertDatagram(
                "940300c29295a3692d31cf0000018bcfe56800ffc3ce000927c095a3692d32cf0000018bcfe5680103c2ce000923d8",
                new DepartureNotice(List.of(STATED, REMOVED)));
        assertDatagram("940300c290", new DepartureNotice(List.of()));
    }

    @Test
    void spendingNotice() {
        assertDatagram(
                "940400c29194d2ffe17b80cd012c75ce0012d687",
                new SpendingNotice(List.of(new SpendingNotice.Total(-2_000_000, 300, 117, 1_234_567))));
    }

    @Test
    void reportsOfTheFleet() {
        FleetRelay relay = new FleetRelay();
        assertFormat(PACKET_HEX, relay.encode(PACKET));
        assertEquals(PACKET, relay.decode(HexFormat.of().parseHex(PACKET_HEX)));
        assertEquals("GET /fleet", relay.request(0).toString());
    }

    @Test
    void snapshotOfTheState() {
        String hex = "940100c2949202ce000111709193ab736572766572732f692d31ce00011170c40301020393a96f702f636f6e666967ce"
                + "00010d88c401049295a3692d31cf0000018bcfe56800ffc3ce000927c095a3692d32cf0000018bcfe5680103c2ce0009"
                + "23d8";
        StateRelay relay = new StateRelay();
        StateSnapshot.Item item = new StateSnapshot.Item("servers/i-1", 70_000, new byte[] {1, 2, 3});
        StateSnapshot.Item configuration = new StateSnapshot.Item("op/config", 69_000, new byte[] {4});
        StateSnapshot snapshot = new StateSnapshot(
                new StorePosition(2, 70_000),
                Optional.of(List.of(item)),
                Optional.of(configuration),
                List.of(STATED, REMOVED));
        assertFormat(hex, relay.encode(snapshot));
        StateSnapshot read = relay.decode(HexFormat.of().parseHex(hex));
        assertEquals(snapshot.position(), read.position());
        assertEquals(snapshot.departed(), read.departed());
        assertArrayEquals(item.deflated(), read.items().orElseThrow().get(0).deflated());
        assertEquals(item.key(), read.items().orElseThrow().get(0).key());
        assertEquals(item.revision(), read.items().orElseThrow().get(0).revision());
        assertArrayEquals(
                configuration.deflated(), read.configuration().orElseThrow().deflated());
    }

    @Test
    void snapshotWithoutNews() {
        String hex = "940100c294920064c0c090";
        StateRelay relay = new StateRelay();
        StateSnapshot snapshot =
                new StateSnapshot(new StorePosition(0, 100), Optional.empty(), Optional.empty(), List.of());
        assertFormat(hex, relay.encode(snapshot));
        assertEquals(snapshot, relay.decode(HexFormat.of().parseHex(hex)));
        assertEquals(
                "GET /state?epoch=2&revision=70000&version=7",
                relay.request(new StateRelay.Known(new StorePosition(2, 70_000), 7), 0)
                        .toString());
    }

    @Test
    void permit() {
        PermitRelay relay = new PermitRelay();
        assertFormat("940100c200", relay.encode(new PermitRelay.Grant(0)));
        assertFormat("940100c2cd012c", relay.encode(new PermitRelay.Grant(300)));
        assertEquals(new PermitRelay.Grant(300), relay.decode(HexFormat.of().parseHex("940100c2cd012c")));
        assertEquals(
                "GET /permit?server=i-1%2F2&per-second=1.1",
                relay.request(new BackendServerId("i-1/2"), PermitTerms.stated(1.1), 0)
                        .toString());
        assertEquals(
                "GET /permit?server=i-1&per-second=Infinity&cold-per-second=15.0&cold-for-sure=true",
                relay.request(new BackendServerId("i-1"), PermitTerms.cold(15), 0)
                        .toString());
        assertEquals(PermitTerms.stated(1.1), PermitRelay.termsOf(name -> "per-second".equals(name) ? "1.1" : ""));
    }

    @Test
    void originOfAStream() {
        OriginRelay relay = new OriginRelay();
        OriginRelay.Origin known = new OriginRelay.Origin(Optional.of(new SoftwareVersion("v2")));
        OriginRelay.Origin unknown = new OriginRelay.Origin(Optional.empty());
        assertFormat("940100c2a27632", relay.encode(known));
        assertFormat("940100c2c0", relay.encode(unknown));
        assertEquals(known, relay.decode(HexFormat.of().parseHex("940100c2a27632")));
        assertEquals(unknown, relay.decode(HexFormat.of().parseHex("940100c2c0")));
        assertEquals("GET /stream-origin?attempt=-5", relay.request(-5, 0).toString());
    }
}
