package org.guavathread.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;

/** A queue of deferrable requests for each workspace, in order of arrival; only the first one acquires budget. */
final class WaitingQueues {

    private final Map<WorkspaceId, Deque<BudgetAcquisition>> queues = new HashMap<>();
    private final int maxWaiting;

    WaitingQueues(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /** Adds a request; returns false if the queue is full. */
    boolean add(BudgetAcquisition acquisition) {
        Deque<BudgetAcquisition> queue =
                queues.computeIfAbsent(acquisition.request().workspace(), w -> new ArrayDeque<>());
        return queue.size() < maxWaiting && queue.add(acquisition);
    }

    boolean isFirst(BudgetAcquisition acquisition) {
        Deque<BudgetAcquisition> queue = queues.get(acquisition.request().workspace());
        return queue != null && queue.peekFirst() == acquisition;
    }

    /** Removes a request; returns the next one if the removed request was the first. */
    Optional<BudgetAcquisition> remove(BudgetAcquisition acquisition) {
        WorkspaceId workspace = acquisition.request().workspace();
        Deque<BudgetAcquisition> queue = queues.get(workspace);
        if (queue == null) {
            return Optional.empty();
        }
        boolean wasFirst = queue.peekFirst() == acquisition;
        queue.remove(acquisition);
        if (queue.isEmpty()) {
            queues.remove(workspace);
        }
        return wasFirst ? Optional.ofNullable(queue.peekFirst()) : Optional.empty();
    }

    int size(WorkspaceId workspace) {
        Deque<BudgetAcquisition> queue = queues.get(workspace);
        return queue == null ? 0 : queue.size();
    }
}
