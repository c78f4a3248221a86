package org.guavathread.core.registry;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
}
