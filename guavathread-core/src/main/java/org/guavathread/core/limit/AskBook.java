package org.guavathread.core.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;

/**
 * Matches the replies of home hosts to the takes that this host has sent. Closed takes are remembered for a while: a
 * grant that arrives after its take was abandoned is returned, and a duplicate of a used grant is not.
 */
final class AskBook {

    private static final int MAX_SETTLED = 20_000;
    private static final GrantId NONE = new GrantId(0, 0);

    private final HostId self;
    private final long memoryId;
    private final Map<Long, Gathering> open = new HashMap<>();
    private final Map<Long, Settled> settled = bounded(MAX_SETTLED);
    private long lastNumber;

    private record Settled(WorkspaceId workspace, GrantId used) {}

    AskBook(HostId self, long memoryId) {
        this.self = self;
        this.memoryId = memoryId;
    }

    static <K, V> Map<K, V> bounded(int max) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > max;
            }
        };
    }

    /** Creates the id of a take that is answered within the same call. */
    AskId next() {
        return new AskId(self, memoryId, ++lastNumber);
    }

    AskId open(Gathering gathering, HostId home, long tokens, long nowMillis) {
        AskId id = next();
        gathering.open().put(id.number(), new Gathering.Ask(home, tokens, nowMillis));
        open.put(id.number(), gathering);
        return id;
    }

    boolean isOwn(AskId id) {
        return id.host().equals(self) && id.memoryId() == memoryId;
    }

    Gathering gatheringOf(AskId id) {
        return open.get(id.number());
    }

    Gathering.Ask settle(Gathering gathering, BudgetGrant reply) {
        open.remove(reply.ask().number());
        settled.put(reply.ask().number(), new Settled(gathering.request().workspace(), reply.grant()));
        return gathering.open().remove(reply.ask().number());
    }

    void abandon(Gathering gathering, long number) {
        open.remove(number);
        gathering.open().remove(number);
        settled.put(number, new Settled(gathering.request().workspace(), NONE));
    }

    /** Creates the return of an unused grant; empty for a duplicate of a used grant and for a forgotten take. */
    Optional<BudgetReturn> returnOf(BudgetGrant spare) {
        Settled known = settled.get(spare.ask().number());
        if (known == null || known.used.equals(spare.grant()) || spare.tokens() <= 0) {
            return Optional.empty();
        }
        return Optional.of(new BudgetReturn(known.workspace, spare.grant(), spare.tokens()));
    }
}
