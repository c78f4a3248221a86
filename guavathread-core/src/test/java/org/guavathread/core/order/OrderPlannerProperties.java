package org.guavathread.core.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Model;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against concurrent issuers, decreasing fencing numbers, an overloaded weight store, and flapping roles. */
class OrderPlannerProperties {

    private static final ModelId MODEL = new ModelId("m");

    /** The issuer moves between hosts whose clocks differ by up to 20 s, and reports arrive up to 4 s late. */
    @Property(seed = "41", tries = 100)
    void fencingNumbersNeverDecreaseAcrossIssuers(@ForAll Random random) {
        List<HostId> hosts = List.of(new HostId("a"), new HostId("b"), new HostId("c"));
        Map<HostId, OrderPlanner> planners = new HashMap<>();
        Map<HostId, Long> clockOffsets = new HashMap<>();
        hosts.forEach(h -> {
            planners.put(h, new OrderPlanner(h));
            clockOffsets.put(h, 100_000L + random.nextInt(20_000));
        });
        BackendServerId engine = new BackendServerId("e0");
        FencingNumber largestSeen = FencingNumber.NONE;
        List<EngineReport> history = new ArrayList<>();
        int orders = 0;
        HostId issuer = hosts.get(0);
        for (long now = 0; now < 120_000; now += 500) {
            if (random.nextInt(20) == 0) {
                issuer = hosts.get(random.nextInt(3));
            }
            history.add(new EngineReport(engine, Map.of("m", "v" + now), BackendKind.DECODE, largestSeen, 0, now));
            EngineReport delayedReport = history.get(Math.max(0, history.size() - 1 - random.nextInt(8)));
            long clockOffset = clockOffsets.get(issuer);
            OrderPlanner planner = planners.get(issuer);
            planner.onSheet(sheet(1, "w" + now / 1_000));
            planner.onReport(new EngineReport(
                    engine,
                    delayedReport.versionsByModel(),
                    delayedReport.role(),
                    delayedReport.fencing(),
                    0,
                    delayedReport.takenAtMillis() + clockOffset));
            for (HostId host : hosts) {
                boolean isIssuer = host.equals(issuer);
                for (Order order : planners.get(host).onTick(view(host, isIssuer), now + clockOffsets.get(host))) {
                    assertTrue(isIssuer, "an order from a host that is not the issuer");
                    assertTrue(order.fencing().compareTo(largestSeen) > 0, order.fencing() + " after " + largestSeen);
                    largestSeen = order.fencing();
                    orders++;
                }
            }
        }
        assertTrue(orders > 0, "no orders were issued");
    }

    @Test
    void loadsOfAllIssuersStayWithinTheRateOfTheWeightStore() {
        HostId self = new HostId("a");
        OrderPlanner planner = new OrderPlanner(self);
        planner.onSheet(sheet(20, "2"));
        planner.onWeightStore(100, Map.of("weights", 500L));
        int loads = 0;
        for (long now = 0; now <= 60_000; now += 1_000) {
            for (int i = 0; i < 20; i++) {
                planner.onReport(report("e" + i, "1", BackendKind.DECODE, 0, now));
            }
            loads += (int) planner.onTick(view(self, true), now).stream()
                    .filter(o -> o.action() == OrderAction.LOAD)
                    .count();
        }
        assertEquals(13, loads, "one load of 500 MB each 5 s at 100 MB/s");
    }

    @Test
    void theLastEngineWithAModelKeepsItUntilAnotherHasTheNewVersion() {
        HostId self = new HostId("a");
        OrderPlanner planner = new OrderPlanner(self);
        planner.onSheet(sheet(2, "2"));
        planner.onWeightStore(1_000_000, Map.of());
        planner.onReport(report("e0", "1", BackendKind.DECODE, 0, 0));
        planner.onReport(report("e1", "1", BackendKind.DECODE, 0, 0));
        assertEquals(1, planner.onTick(view(self, true), 0).size());
        planner.onReport(report("e0", "1", BackendKind.DECODE, 0, 1_000));
        planner.onReport(report("e1", "1", BackendKind.DECODE, 0, 1_000));
        assertEquals(0, planner.onTick(view(self, true), 1_000).size());
    }

    @Test
    void aRoleChangesOnlyAfterThirtySecondsOfDifferenceAndOneEngineAtATime() {
        HostId self = new HostId("a");
        OrderPlanner planner = new OrderPlanner(self);
        planner.onSheet(sheet(4, "1"));
        List<Long> changedAt = new ArrayList<>();
        for (long now = 0; now <= 61_000; now += 1_000) {
            boolean brieflyBalanced = now == 10_000;
            for (int i = 0; i < 4; i++) {
                BackendKind role = i < 3 ? BackendKind.DECODE : BackendKind.PREFILL;
                planner.onReport(report("e" + i, "1", role, i < 3 || brieflyBalanced ? 100 : 900, now));
            }
            for (Order order : planner.onTick(view(self, true), now)) {
                assertEquals(OrderAction.ROLE, order.action());
                changedAt.add(now);
            }
        }
        assertEquals(List.of(41_000L), changedAt);
    }

    @Test
    void anOrderPlannedBeforeAPauseIsNotSentAfterIt() {
        HostId self = new HostId("a");
        OrderPlanner planner = new OrderPlanner(self);
        planner.onSheet(sheet(1, "2"));
        planner.onReport(report("e0", "1", BackendKind.DECODE, 0, 0));
        Order order = planner.onTick(view(self, true), 0).get(0);
        assertTrue(planner.maySend(order, view(self, true), 0));
        assertFalse(planner.maySend(order, view(self, false), 20_000));
    }

    private static EngineReport report(String id, String version, BackendKind role, int load, long now) {
        return new EngineReport(new BackendServerId(id), Map.of("m", version), role, FencingNumber.NONE, load, now);
    }

    private static EpochView view(HostId self, boolean holdsLease) {
        SocketAddressText address = SocketAddressText.parse("127.0.0.1:1");
        Host host = new Host(self, new DataCentreId("d"), address, address, address, AdminState.ACTIVE);
        return new EpochView(
                new EpochMembers(new HostEpoch(1), List.of(host)), holdsLease ? Long.MAX_VALUE : 0, 0, 0, List.of());
    }

    private static Sheet sheet(int engines, String version) {
        List<BackendServer> servers = IntStream.range(0, engines)
                .mapToObj(i -> new BackendServer(
                        new BackendServerId("e" + i),
                        BackendKind.DECODE,
                        new DataCentreId("d"),
                        SocketAddressText.parse("127.0.0.1:9"),
                        AdminState.ACTIVE,
                        List.of(MODEL),
                        true,
                        100,
                        1_000))
                .toList();
        return Sheet.builder()
                .version(new SheetVersion(1))
                .dataCentres(List.of(new DataCentre(new DataCentreId("d"), new RegionId("r"))))
                .models(List.of(new Model(MODEL, version, "weights", 10)))
                .backendServers(servers)
                .build();
    }
}
