package org.guavathread.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;

/**
 * Compares what the workspaces used lately, over all hosts. In a burst beyond the engines' room, workspaces that use less
 * than an equal part are served first, so that a burst of one workspace delays only that workspace.
 */
public final class DemandShares {

    /** Use counts half after this time: about as long as a language request keeps its room. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** A workspace with a smaller part of the whole does not count as active. */
    private static final double ACTIVE_PART = 0.01;

    private record Use(double units, long atMillis) {

        private double at(long nowMillis) {
            return units * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    private final Map<WorkspaceId, Use> uses = new HashMap<>();

    /**
     * Notes use of this or another host.
     *
     * @param workspace the workspace
     * @param units what it was charged; negative if a charge was given back
     * @param nowMillis the current time
     */
    public void used(WorkspaceId workspace, double units, long nowMillis) {
        double before = uses.containsKey(workspace) ? uses.get(workspace).at(nowMillis) : 0;
        uses.put(workspace, new Use(Math.max(0, before + units), nowMillis));
    }

    /**
     * Tells whether a workspace used more than an equal part.
     *
     * @param workspace the workspace, or empty for requests that belong to none
     * @param nowMillis the current time
     * @return true if it is to wait for the others
     */
    public boolean isAboveEqualPart(Optional<WorkspaceId> workspace, long nowMillis) {
        Use use = workspace.map(uses::get).orElse(null);
        if (use == null) {
            return false;
        }
        double total = uses.values().stream().mapToDouble(u -> u.at(nowMillis)).sum();
        long active = uses.values().stream()
                .filter(u -> u.at(nowMillis) > ACTIVE_PART * total)
                .count();
        return active > 1 && use.at(nowMillis) > total / active;
    }

    /**
     * Forgets workspaces that used nothing for long.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        uses.values().removeIf(u -> u.at(nowMillis) < 1);
    }
}
