package org.guavathread.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.WorkspaceId;

/** Tracks the decode memory of each workspace and compares it with the weighted fair share among active workspaces. */
final class WorkspaceMemoryUse {

    /**
     * A workspace is far above its share if it holds more than one and a half times the share plus these pieces. With
     * the share itself as the limit, small workspaces were delayed at full load, because they exceed it by chance.
     */
    private static final int SLACK_PIECES = 8;

    private static final double SLACK_FACTOR = 1.5;

    private final Map<WorkspaceId, Integer> pieces = new HashMap<>();

    void add(WorkspaceId workspace, int count) {
        pieces.merge(workspace, count, (a, b) -> a + b == 0 ? null : a + b);
    }

    /** Returns whether granting a request would put its workspace far above its share of the memory. */
    boolean farAboveShare(FairQueue.Item item, int memoryPieces, FairQueue queue) {
        WorkspaceId workspace = item.request().workspace();
        Set<WorkspaceId> active = new HashSet<>(pieces.keySet());
        active.addAll(queue.workspaces());
        active.add(workspace);
        double weights = active.stream().mapToDouble(queue::weightOf).sum();
        double share = memoryPieces * queue.weightOf(workspace) / weights;
        int held = pieces.getOrDefault(workspace, 0) + item.pieces();
        return active.size() > 1 && held > SLACK_FACTOR * share + SLACK_PIECES;
    }
}
