package org.guavathread.core.routing;

import java.util.List;
import java.util.Optional;
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

    private static RouteRule withPriority(String name, int level) {
        return RouteRule.builder(new RouteId(name), CallKind.STREAM)
                .matches("shop.example", "/" + name + "/")
                .targets(List.of(new RouteRule.Target(new ServiceName("s"), 1)))
                .priority(new Priority(level))
                .build();
    }

    private static WorkspaceTerms workspace(String name, Optional<Priority> priority) {
        return WorkspaceTerms.builder(new WorkspaceId(name)).priority(priority).build();
    }

    private static Optional<Priority> priorityOf(RouteRule rule, WorkspaceTerms workspace, List<Object> published) {
        RoutingTable.Builder builder = RoutingTable.builder(1);
        for (Object each : published) {
            if (each instanceof RouteRule route) {
                builder.route(route);
            } else {
                builder.workspace((WorkspaceTerms) each);
            }
        }
        return builder.build().priorityOf(new ServiceName("s"), rule, Optional.of(workspace));
    }

    @Test
    void priorityOfTheWorkspaceGoesBeforeThatOfTheRoute() {
        RouteRule urgent = withPriority("urgent", 0);
        RouteRule calm = withPriority("calm", 2);
        WorkspaceTerms first = workspace("first", Optional.of(new Priority(1)));
        WorkspaceTerms second = workspace("second", Optional.of(new Priority(3)));
        List<Object> published = List.of(urgent, calm, first, second);
        assertEquals(Optional.of(new Priority(0)), priorityOf(urgent, first, published));
        assertEquals(Optional.of(new Priority(1)), priorityOf(calm, first, published));
        assertEquals(Optional.of(new Priority(2)), priorityOf(urgent, second, published));
        assertEquals(Optional.of(new Priority(3)), priorityOf(calm, second, published));
    }

    @Test
    void routesDecideBetweenWorkspacesOfEqualPriority() {
        RouteRule urgent = withPriority("urgent", 0);
        RouteRule calm = withPriority("calm", 2);
        WorkspaceTerms first = workspace("first", Optional.of(new Priority(1)));
        assertEquals(Optional.of(new Priority(0)), priorityOf(urgent, first, List.of(urgent, calm, first)));
        assertEquals(Optional.of(new Priority(1)), priorityOf(calm, first, List.of(urgent, calm, first)));
        WorkspaceTerms without = workspace("without", Optional.empty());
        assertEquals(Optional.of(new Priority(1)), priorityOf(calm, without, List.of(urgent, calm, without)));
    }

    @Test
    void equalPrioritiesAreNone() {
        RouteRule one = withPriority("one", 1);
        RouteRule other = withPriority("other", 1);
        WorkspaceTerms first = workspace("first", Optional.of(new Priority(3)));
        WorkspaceTerms second = workspace("second", Optional.of(new Priority(3)));
        assertEquals(Optional.empty(), priorityOf(one, first, List.of(one, other, first, second)));
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
