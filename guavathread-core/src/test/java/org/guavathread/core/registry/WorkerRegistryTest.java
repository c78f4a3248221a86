package org.guavathread.core.registry;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests to servers that have shut down, and against losing live servers in an outage of the store.
 */
class WorkerRegistryTest {

    private static final ServiceName SERVICE = new ServiceName("patio");

    private final WorkerRegistry registry = new WorkerRegistry();

    private static Worker worker(String id, boolean draining) {
        return new Worker(
                new BackendServerId(id),
                SERVICE,
                new SocketAddressText("127.0.0.1", 8080),
                new DataCentreId("talca"),
                6,
                draining,
                EngineStage.NONE,
                new SoftwareVersion("v1"),
                1);
    }

    private List<String> usable() {
        return registry.usable(SERVICE).stream()
                .map(w -> w.id().value())
                .sorted()
                .toList();
    }

    @Test
    void drainingAndRemovedServersAreNotUsable() {
        registry.put(worker("a", false), 0);
        registry.put(worker("b", true), 0);
        registry.put(worker("c", false), 0);
        registry.remove(new BackendServerId("c"), 100_000);
        assertEquals(List.of("a"), usable());
    }

    @Test
    void serverThatLapsedInAnOutageStaysUsableForTheGracePeriod() {
        registry.put(worker("a", false), 0);
        registry.sourceUnreachable();
        registry.remove(new BackendServerId("a"), 100_000);
        assertEquals(List.of("a"), usable());
        registry.sourceRecovered(101_000);
        registry.expire(101_000 + WorkerRegistry.GRACE_PERIOD_MILLIS - 1);
        assertEquals(List.of("a"), usable());
        registry.expire(101_000 + WorkerRegistry.GRACE_PERIOD_MILLIS);
        assertEquals(List.of(), usable());
    }

    @Test
    void serverThatRegistersAgainAfterAnOutageIsNotDuplicated() {
        registry.put(worker("a", false), 0);
        registry.sourceUnreachable();
        registry.sourceRecovered(100_000);
        registry.remove(new BackendServerId("a"), 100_500);
        registry.put(worker("a", false), 0);
        registry.expire(200_000);
        assertEquals(List.of("a"), usable());
    }

    @Test
    void replacedSourceDoesNotEndAnOutage() {
        registry.put(worker("a", false), 0);
        registry.sourceUnreachable();
        registry.sourceReplaced(100_000);
        registry.remove(new BackendServerId("a"), 200_000);
        registry.expire(200_000);
        assertEquals(List.of("a"), usable());
    }

    @Test
    void drainingServerThatIsRemovedInAnOutageIsNotUsable() {
        registry.put(worker("a", true), 0);
        registry.sourceUnreachable();
        registry.remove(new BackendServerId("a"), 100_000);
        assertEquals(List.of(), usable());
    }

    private static Worker process(String version, long startedAtMillis) {
        return new Worker(
                new BackendServerId("a"),
                SERVICE,
                new SocketAddressText("127.0.0.1", 8080),
                new DataCentreId("talca"),
                6,
                false,
                EngineStage.DECODE,
                new SoftwareVersion(version),
                startedAtMillis);
    }

    private boolean stated(long startedAtMillis, long askedAtMillis) {
        ServerProcess process = new ServerProcess(new BackendServerId("a"), startedAtMillis);
        return registry.stated(process, EngineStage.PREFILL, askedAtMillis, askedAtMillis);
    }

    private Worker known() {
        return registry.find(new BackendServerId("a")).orElseThrow();
    }

    @Test
    void anEntryDoesNotDescribeTheVersionAndStageOfALaterProcess() {
        registry.put(process("v1", 10), 100);
        assertTrue(stated(20, 200));
        SoftwareVersion unknown = known().softwareVersion();
        assertEquals(Optional.of(new ServerProcess(new BackendServerId("a"), 20)), unknown.unknownProcess());
        assertEquals(EngineStage.PREFILL, known().stage());
        registry.put(process("v1", 10), 300);
        assertEquals(unknown, known().softwareVersion(), "the old entry was read again");
        registry.put(process("v2", 20), 400);
        assertEquals(process("v2", 20), known());
        assertEquals(new SoftwareVersion("v2"), registry.resolve(unknown));
    }

    @Test
    void anEntryOfAProcessOfWhichNothingWasStatedHolds() {
        registry.put(process("v1", 10), 100);
        stated(20, 200);
        registry.put(process("v3", 30), 300);
        assertEquals(process("v3", 30), known());
    }

    @Test
    void anAnswerThatWasAskedForBeforeTheEntryWasReadSaysNothing() {
        registry.put(process("v2", 20), 100);
        assertFalse(stated(10, 99));
        assertFalse(stated(20, 200), "the same process");
        assertEquals(process("v2", 20), known());
    }

    @Test
    void aClockThatWentBackDoesNotHideANewProcess() {
        registry.put(process("v1", 10), 100);
        assertTrue(stated(5, 200));
        assertEquals(5, known().startedAtMillis());
    }

    @Test
    void aServerWhoseEntryNamesNoStartIsNotTakenForAnotherProcess() {
        registry.put(process("v1", 0), 100);
        assertFalse(stated(20, 200));
        assertEquals(process("v1", 0), known());
    }

    @Test
    void severalProcessesInOneOutageAreToldApart() {
        registry.put(process("v1", 10), 100);
        stated(20, 200);
        SoftwareVersion second = known().softwareVersion();
        assertTrue(stated(30, 300));
        SoftwareVersion third = known().softwareVersion();
        assertNotEquals(second, third);
        registry.put(process("v1", 30), 400);
        assertEquals(second, registry.resolve(second), "the second process has never registered");
        assertEquals(new SoftwareVersion("v1"), registry.resolve(third));
    }

    @Test
    void theVersionsOfATimeContainThoseOfProcessesThatHaveNotRegistered() {
        registry.listed(0);
        registry.put(process("v1", 10), 100);
        stated(20, 200);
        assertEquals(2, registry.versionsSince(SERVICE, 150).orElseThrow().size());
        registry.put(process("v1", 20), 300);
        assertEquals(
                Set.of(new SoftwareVersion("v1")),
                registry.versionsSince(SERVICE, 150).orElseThrow());
    }

    @Test
    void aProcessIsRememberedForAsLongAsStreamsLastAfterItsEntryHasGone() {
        registry.put(process("v1", 10), 0);
        SoftwareVersion first = SoftwareVersion.unknownOf(known().process());
        registry.expire(500_000);
        registry.put(process("v2", 20), 500_000);
        registry.expire(560_000);
        assertEquals(new SoftwareVersion("v1"), registry.resolve(first));
        registry.expire(700_000);
        assertEquals(first, registry.resolve(first));
    }

    @Test
    void aReplacedProcessKeepsTheShutdownThatItsEntryAnnounces() {
        Worker draining = process("v1", 10).leaving();
        registry.put(draining, 100);
        stated(20, 200);
        assertEquals(List.of(), usable());
    }

    @Test
    void aStreamOfOneOfTwoProcessesBelongsToTheirVersionOnceBothAreKnownToHaveIt() {
        registry.put(process("v1", 10), 100);
        ServerProcess same = new ServerProcess(new BackendServerId("a"), 20);
        ServerProcess other = new ServerProcess(new BackendServerId("a"), 30);
        SoftwareVersion either = new SoftwareVersion("v1").orThatOf(same);
        SoftwareVersion mixed = new SoftwareVersion("v1").orThatOf(other);
        assertEquals(Optional.of(same), either.unknownProcess());
        assertEquals(either, registry.resolve(either));
        registry.put(process("v1", 20), 200);
        registry.put(process("v2", 30), 300);
        assertEquals(new SoftwareVersion("v1"), registry.resolve(either));
        assertEquals(mixed, registry.resolve(mixed));
    }
}
