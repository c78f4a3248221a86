package org.guavathread.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetReader;
import org.guavathread.core.sheet.SheetWriter;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.sheet.Workspace;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a sheet that comes into force wrongly, or whose chunks do not fit into the frames between hosts. */
class ConfigDistributorTest {

    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    @Test
    void anOlderVersionAndAnotherSheetOfTheSameVersionAreRefused() {
        ConfigAcceptance acceptance = new ConfigAcceptance();
        assertInstanceOf(Acceptance.InForce.class, acceptance.offer(reading(sheet(5, 1)), "service", 0));
        assertInstanceOf(Acceptance.NotNewer.class, acceptance.offer(reading(sheet(4, 1)), "service", 1));
        assertInstanceOf(Acceptance.NotNewer.class, acceptance.offer(reading(sheet(5, 1)), "b", 2));
        Acceptance.Conflict conflict =
                assertInstanceOf(Acceptance.Conflict.class, acceptance.offer(reading(sheet(5, 2)), "b", 3));
        assertEquals("b", conflict.source());
        Acceptance.InForce next =
                assertInstanceOf(Acceptance.InForce.class, acceptance.offer(reading(sheet(7, 2)), "b", 4));
        assertEquals(
                List.of("workspace w1 added", "API key of workspace w1 added: " + KeyHash.ofKey("key-1")),
                next.audit().changes().stream().map(Object::toString).toList());
        assertEquals(2, acceptance.audit().size());
    }

    @Test
    void anInvalidSheetIsReportedOnceAndTheOldOneStaysInForce() {
        ConfigDistributor distributor = started(A, sheet(1, 1));
        byte[] invalid = "{\"version\":2}".getBytes();
        List<ConfigAction> first = distributor.onServiceAnswer(new ServiceAnswer.Value(invalid), 10_000);
        assertInstanceOf(Acceptance.Refused.class, ((ConfigAction.Report) first.get(0)).acceptance());
        assertEquals(List.of(), distributor.onServiceAnswer(new ServiceAnswer.Value(invalid), 11_000));
        assertEquals(new SheetVersion(1), distributor.acceptance().version());
    }

    @Test
    void aLargeSheetTravelsInChunksAndASmallChangeInOne() {
        ConfigDistributor a = started(A, sheet(1, 9_000));
        ConfigDistributor b = new ConfigDistributor(B, new Random(1), 0).hostList(List.of(A, B));
        int chunks = exchange(b, a, b.onTick(0), 0);
        assertTrue(chunks > 2, chunks + " chunks");
        assertTrue(b.onTick(2_000).stream().anyMatch(ConfigAction.Report.class::isInstance));
        assertTrue(b.isServing());
        a.onServiceAnswer(new ServiceAnswer.Value(SheetWriter.write(sheet(2, 9_001))), 3_000);
        chunks = exchange(b, a, b.onOffer(A, new SheetOffer(new SheetVersion(2), "x"), 3_000), 3_000);
        assertEquals(1, chunks);
        assertEquals(new SheetVersion(2), b.acceptance().version());
        assertEquals(a.acceptance().digest(), b.acceptance().digest());
    }

    @Test
    void aHostThatReceivesNothingForTenSecondsIsIsolated() {
        ConfigDistributor distributor = started(A, sheet(1, 1));
        PeerReport report = new PeerReport(new Incarnation(1), new SheetVersion(1), false, 0, Optional.empty());
        distributor.onPeerReport(B, report, 5_000);
        assertFalse(distributor.isIsolated(14_999));
        assertTrue(distributor.isIsolated(15_000));
    }

    /** Delivers the requests of one host to the other, and returns the number of chunks that were sent. */
    private static int exchange(
            ConfigDistributor requester, ConfigDistributor source, List<ConfigAction> actions, long now) {
        List<ConfigAction> open = new ArrayList<>(actions);
        int chunks = 0;
        while (!open.isEmpty()) {
            ConfigAction action = open.remove(0);
            if (action instanceof ConfigAction.Send send && send.message() instanceof SheetRequest request) {
                SheetChunk chunk = source.onRequest(request);
                assertTrue(chunk.bytes().length < 250 * 1024, "a chunk must fit into a frame");
                chunks++;
                open.addAll(requester.onChunk(A, chunk, now));
            }
        }
        return chunks;
    }

    private static ConfigDistributor started(HostId self, Sheet sheet) {
        ConfigDistributor distributor = new ConfigDistributor(self, new Random(1), 0);
        distributor.onTick(0);
        distributor.onServiceAnswer(new ServiceAnswer.Value(SheetWriter.write(sheet)), 10);
        distributor.onTick(2_500);
        assertTrue(distributor.isServing());
        return distributor;
    }

    private static org.guavathread.core.sheet.SheetReadResult reading(Sheet sheet) {
        return SheetReader.read(SheetWriter.write(sheet));
    }

    private static Sheet sheet(long version, int workspaces) {
        SocketAddressText[] ports = IntStream.range(1, 7)
                .mapToObj(i -> new SocketAddressText("127.0.0.1", i))
                .toArray(SocketAddressText[]::new);
        DataCentreId dc = new DataCentreId("d");
        return Sheet.builder()
                .version(new SheetVersion(version))
                .dataCentres(List.of(new DataCentre(dc, new RegionId("r"))))
                .hosts(List.of(
                        new Host(A, dc, ports[0], ports[1], ports[2], AdminState.ACTIVE),
                        new Host(B, dc, ports[3], ports[4], ports[5], AdminState.ACTIVE)))
                .workspaces(IntStream.range(0, workspaces)
                        .mapToObj(i -> new Workspace(
                                new WorkspaceId("w" + i),
                                List.of(KeyHash.ofKey("key-" + i)),
                                10,
                                100,
                                Optional.empty()))
                        .toList())
                .build();
    }
}
