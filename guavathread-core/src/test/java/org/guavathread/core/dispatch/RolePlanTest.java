package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against pools in which one role is short of engines, and against role changes that oscillate. */
class RolePlanTest {

    private final RolePlan plan = new RolePlan(0.25);

    private static List<Worker> pool(int prefill, int decode) {
        List<Worker> engines = new ArrayList<>();
        for (int i = 0; i < prefill + decode; i++) {
            engines.add(new Worker(
                    new BackendServerId("e" + (100 + i)),
                    new ServiceName("llm"),
                    new SocketAddressText("127.0.0.1", 80),
                    new DataCentreId("talca"),
                    64,
                    false,
                    i < prefill ? EngineStage.PREFILL : EngineStage.DECODE,
                    new SoftwareVersion("v1"),
                    0));
        }
        return engines;
    }

    private String next(int prefill, int decode) {
        return plan.next(pool(prefill, decode))
                .map(c -> c.engine().id() + " " + c.stage())
                .orElse("none");
    }

    @Test
    void surplusPrefillEngineBecomesDecodeEngine() {
        assertEquals("e100 DECODE", next(3, 3));
        assertEquals("e100 DECODE", next(5, 8));
        assertEquals("none", next(2, 4));
        assertEquals("none", next(3, 10));
    }

    @Test
    void missingPrefillEngineIsReplaced() {
        assertEquals("e101 PREFILL", next(1, 7));
        assertEquals("none", next(1, 5));
    }

    @Test
    void smallPoolsKeepTheirRoles() {
        assertEquals("none", next(2, 1));
        assertEquals("none", next(3, 0));
    }

    @Test
    void roleChangesConverge() {
        for (int total = 4; total <= 100; total++) {
            for (int prefill = 1; prefill < total; prefill++) {
                int prefillCount = prefill;
                int changes = 0;
                Optional<RolePlan.Change> change = plan.next(pool(prefillCount, total - prefillCount));
                while (change.isPresent()) {
                    prefillCount += change.get().stage() == EngineStage.PREFILL ? 1 : -1;
                    assertTrue(++changes <= total, "roles of " + total + " engines change back and forth");
                    change = plan.next(pool(prefillCount, total - prefillCount));
                }
                assertTrue(prefillCount >= 1 && prefillCount < total);
            }
        }
    }
}
