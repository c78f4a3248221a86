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
final class TakeTracker {

    private static final int MAX_CLOSED = 20_000;
    private static final GrantId NONE = new GrantId(0, 0);

    private final HostId self;
    private final long instanceId;
    private final Map<Long, BudgetAcquisition> pending = new HashMap<>();
    private final Map<Long, ClosedTake> closed = bounded(MAX_CLOSED);
    private long lastNumber;

    private record ClosedTake(WorkspaceId workspace, GrantId used) {}

    TakeTracker(HostId self, long instanceId) {
        this.self = self;
        this.instanceId = instanceId;
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
    TakeId nextId() {
        return new TakeId(self, instanceId, ++lastNumber);
    }

    TakeId register(BudgetAcquisition acquisition, HostId home, long tokens, long nowMillis) {
        TakeId id = nextId();
        acquisition.pendingTakes().put(id.number(), new BudgetAcquisition.PendingTake(home, tokens, nowMillis));
        pending.put(id.number(), acquisition);
        return id;
    }

    boolean isOwn(TakeId id) {
        return id.host().equals(self) && id.instanceId() == instanceId;
    }

    BudgetAcquisition acquisitionOf(TakeId id) {
        return pending.get(id.number());
    }

    BudgetAcquisition.PendingTake close(BudgetAcquisition acquisition, BudgetGrant reply) {
        pending.remove(reply.take().number());
        closed.put(reply.take().number(), new ClosedTake(acquisition.request().workspace(), reply.grant()));
        return acquisition.pendingTakes().remove(reply.take().number());
    }

    void abandon(BudgetAcquisition acquisition, long number) {
        pending.remove(number);
        acquisition.pendingTakes().remove(number);
        closed.put(number, new ClosedTake(acquisition.request().workspace(), NONE));
    }

    /** Creates the return of an unused grant; empty for a duplicate of a used grant and for a forgotten take. */
    Optional<BudgetReturn> returnOf(BudgetGrant spare) {
        ClosedTake known = closed.get(spare.take().number());
        if (known == null || known.used.equals(spare.grant()) || spare.tokens() <= 0) {
            return Optional.empty();
        }
        return Optional.of(new BudgetReturn(known.workspace, spare.grant(), spare.tokens()));
    }
}
