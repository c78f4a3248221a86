package org.guavathread.core.dispatch;

import java.util.List;
import java.util.stream.IntStream;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against taking crashed servers for a cut of this host, and the other way round. */
class ServerReachTest {

    private final ServerReach reach = new ServerReach();

    private static List<Worker> servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Worker(
                        id(i),
                        new ServiceName("s"),
                        new SocketAddressText("127.0.0.1", 80 + i),
                        new DataCentreId("talca"),
                        6,
                        false,
                        EngineStage.NONE,
                        new SoftwareVersion("v1"),
                        0))
                .toList();
    }

    private static BackendServerId id(int number) {
        return new BackendServerId("i-" + number);
    }

    @Test
    void hostIsCutOffOnceSeveralServersHaveFailedSinceTheLastConnection() {
        reach.connected(id(5), 1_000);
        reach.notConnected(id(0), 1_100);
        reach.notConnected(id(1), 1_200);
        reach.notConnected(id(1), 1_250);
        assertFalse(reach.isOutOfReach(servers(6), 1_400), "two servers may have crashed");
        reach.notConnected(id(2), 1_280);
        assertFalse(reach.isOutOfReach(servers(6), 1_290), "so may three at once, as another one has just answered");
        assertTrue(reach.isOutOfReach(servers(6), 1_400));
    }

    @Test
    void oneConnectionEndsIt() {
        IntStream.range(0, 6).forEach(i -> reach.notConnected(id(i), 1_000));
        assertTrue(reach.isOutOfReach(servers(6), 1_500));
        reach.connected(id(3), 1_600);
        assertFalse(reach.isOutOfReach(servers(6), 1_600));
        assertFalse(reach.isOutOfReach(servers(6), 2_500), "what failed before does not count again");
    }

    @Test
    void answerOnAConnectionThatWasOpenedBeforeTheCutDoesNotEndIt() {
        IntStream.range(0, 3).forEach(i -> reach.notConnected(id(i), 1_000));
        reach.connected(id(4), 900);
        assertTrue(reach.isOutOfReach(servers(6), 1_500));
    }

    @Test
    void crashedServersAmongOthersThatAnswerAreNoCut() {
        for (int i = 0; i < 100; i++) {
            reach.notConnected(id(i % 3), i * 50);
            reach.connected(id(3), i * 50 + 10);
            assertFalse(reach.isOutOfReach(servers(6), i * 50 + 20));
        }
    }

    @Test
    void allServersOfASmallServiceMustFail() {
        reach.notConnected(id(0), 1_000);
        assertFalse(reach.isOutOfReach(servers(2), 1_100));
        reach.notConnected(id(1), 1_000);
        assertTrue(reach.isOutOfReach(servers(2), 1_100));
        assertFalse(reach.isOutOfReach(servers(0), 1_100));
    }

    @Test
    void oldFailuresDoNotCount() {
        IntStream.range(0, 6).forEach(i -> reach.notConnected(id(i), 1_000));
        assertTrue(reach.isOutOfReach(servers(6), 3_999) && reach.hasRecentFailures(3_999));
        assertFalse(reach.hasRecentFailures(4_000));
        assertFalse(reach.isOutOfReach(servers(6), 4_000));
    }

    @Test
    void probesGoRoundAllServers() {
        List<Worker> servers = servers(3);
        reach.notConnected(id(0), 1);
        reach.notConnected(id(1), 2);
        assertEquals(id(2), reach.nextToProbe(servers).orElseThrow().id());
        reach.notConnected(id(2), 3);
        assertEquals(id(0), reach.nextToProbe(servers).orElseThrow().id());
        reach.retain(List.of(id(1), id(2)));
        assertEquals(id(0), reach.nextToProbe(servers).orElseThrow().id());
        assertTrue(reach.nextToProbe(List.of()).isEmpty());
    }
}
