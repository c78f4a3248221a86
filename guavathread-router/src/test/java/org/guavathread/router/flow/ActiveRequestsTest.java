package org.guavathread.router.flow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.request.RunState;
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Route;
import org.guavathread.core.sheet.RouteTarget;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.metrics.WorkspaceUsage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against charges that are never refunded, withdrawn keys that stay usable, and refusals with a wrong run state. */
class ActiveRequestsTest {

    private static final Refusal NO_ROOM = Refusal.notRun(RefusalCode.NO_ROOM, "no room");

    private final KeyRing keys = ring("old-key");
    private final ActiveRequests active =
            new ActiveRequests(keys, new RouterMetrics(), new WorkspaceUsage(), () -> 1_000);
    private final AtomicInteger ends = new AtomicInteger();

    @Test
    void endOfARefusedRequestIsReportedOnce() {
        RequestContext context = context(new FakeExchange("r1"));
        context.onEnd(ends::incrementAndGet);
        assertTrue(active.begin(context, () -> {}));
        context.refuse(NO_ROOM);
        context.refuse(NO_ROOM);
        assertEquals(1, ends.get());
        assertEquals(0, active.count());
    }

    @Test
    void withdrawnKeyEndsItsRequests() {
        FakeExchange exchange = new FakeExchange("r1");
        AtomicInteger cancelled = new AtomicInteger();
        RequestContext context = context(exchange);
        assertTrue(active.begin(context, cancelled::incrementAndGet));
        active.keysChanged(ring("new-key"));
        assertEquals(1, cancelled.get());
        assertEquals(RefusalCode.KEY_UNKNOWN, exchange.refusals.get(0).code());
        assertFalse(active.begin(context(new FakeExchange("r2")), () -> {}));
    }

    @Test
    void refusalOfADispatchedRequestIsUnknown() {
        FakeExchange exchange = new FakeExchange("r1");
        RequestContext context = context(exchange);
        assertTrue(context.beginDispatch());
        context.refuse(NO_ROOM);
        assertEquals(RunState.UNKNOWN, exchange.refusals.get(0).run());
    }

    @Test
    void refusalWithAnIdempotencyKeyIsUnknownUnlessProven() {
        FakeExchange early = new FakeExchange("r1").header("Idempotency-Key", "k");
        context(early).refuse(NO_ROOM);
        assertEquals(RunState.UNKNOWN, early.refusals.get(0).run());
        FakeExchange proven = new FakeExchange("r2").header("Idempotency-Key", "k");
        context(proven).refuseAsStated(NO_ROOM);
        assertEquals(RunState.NOT_RUN, proven.refusals.get(0).run());
    }

    @Test
    void refusedRequestIsNotSentAnyMore() {
        RequestContext context = context(new FakeExchange("r1"));
        context.refuse(NO_ROOM);
        assertFalse(context.beginDispatch());
    }

    private RequestContext context(FakeExchange exchange) {
        Route route = new Route(
                new RouteId("booking"),
                "/v1/services/booking",
                RequestKind.NON_REPEATABLE,
                RouteTarget.SERVICE,
                List.of(new BackendServerId("s1")),
                List.of(),
                false,
                false,
                2_000,
                1);
        return new RequestContext(exchange, route, keys.ownerOf("old-key"), active);
    }

    private static KeyRing ring(String key) {
        Workspace workspace =
                new Workspace(new WorkspaceId("w1"), List.of(KeyHash.ofKey(key)), 100, 100, Optional.empty());
        return KeyRing.of(Sheet.builder().workspaces(List.of(workspace)).build());
    }
}
