package org.guavathread.core.routing;

import java.util.List;
import java.util.Set;

import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against routing a request by the route of another host or of a shorter prefix. */
class RoutingTableTest {

    private final RoutingTable table = RoutingTable.builder(7)
            .route(rule("short", "/a/"))
            .route(rule("long", "/a/b/"))
            .workspace(WorkspaceTerms.builder(new WorkspaceId("w"))
                    .apiKeys(Set.of("key"))
                    .limit(10, 10)
                    .countsTokens(200)
                    .build())
            .build();

    private static RouteRule rule(String name, String prefix) {
        return RouteRule.builder(new RouteId(name), CallKind.IDEMPOTENT)
                .matches("shop.example", prefix)
                .times(600, 100, 300)
                .targets(List.of(new RouteRule.Target(new ServiceName("s"), 1)))
                .maxRuns(2)
                .build();
    }

    private String routeOf(String host, String path) {
        return table.route(host, path).map(r -> r.id().value()).orElse("none");
    }

    @Test
    void longestPrefixOfTheHostWins() {
        assertEquals("long", routeOf("shop.example", "/a/b/17"));
        assertEquals("long", routeOf("SHOP.example", "/a/b/"));
        assertEquals("short", routeOf("shop.example", "/a/bc/17"));
        assertEquals("short", routeOf("shop.example", "/a/b"));
    }

    @Test
    void otherHostsAndPathsHaveNoRoute() {
        assertEquals("none", routeOf("other.example", "/a/b/17"));
        assertEquals("none", routeOf("shop.example", "/b/a/"));
        assertEquals("none", routeOf("shop.example", "/"));
    }

    @Test
    void keysBelongToTheirWorkspaceOnly() {
        assertEquals("w", table.workspaceOf("key").orElseThrow().id().value());
        assertTrue(table.workspaceOf("other").isEmpty());
        assertTrue(table.requiresKeys());
    }

    @Test
    void requestWithoutTokenCountIsChargedTheDefault() {
        WorkspaceTerms terms = table.workspaces().get(0);
        assertEquals(200, terms.costOf(0));
        assertEquals(1540, terms.costOf(1540));
    }

    @Test
    void servicesAreSelectedByWeight() {
        RouteRule split = RouteRule.builder(new RouteId("split"), CallKind.STREAM)
                .matches("h", "/")
                .targets(List.of(
                        new RouteRule.Target(new ServiceName("most"), 90),
                        new RouteRule.Target(new ServiceName("few"), 10)))
                .resumable(true)
                .build();
        assertEquals("most", split.pick(0.0).value());
        assertEquals("most", split.pick(0.89).value());
        assertEquals("few", split.pick(0.91).value());
        assertTrue(split.mayRunAgain(), "a resumable stream may continue on another server");
    }
}
