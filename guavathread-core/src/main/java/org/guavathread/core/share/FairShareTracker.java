package org.guavathread.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;

/**
 * Tracks the recent usage of each workspace over all hosts, for fair-share scheduling. In a burst beyond the engines'
 * capacity, workspaces within their fair share are served first, so that a burst of one workspace delays only that
 * workspace.
 */
public final class FairShareTracker {

    /** Half-life of the exponential decay of usage: about as long as a language request occupies engine memory. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** Fraction of the total usage below which a workspace does not count as active. */
    private static final double MIN_ACTIVE_FRACTION = 0.01;

    private record Usage(double units, long atMillis) {

        private double at(long nowMillis) {
            return units * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    private final Map<WorkspaceId, Usage> usages = new HashMap<>();

    /**
     * Records usage on this or another host.
     *
     * @param workspace the workspace
     * @param units the charge; negative for a refund
     * @param nowMillis the current time
     */
    public void recordUsage(WorkspaceId workspace, double units, long nowMillis) {
        double before = usages.containsKey(workspace) ? usages.get(workspace).at(nowMillis) : 0;
        usages.put(workspace, new Usage(Math.max(0, before + units), nowMillis));
    }

    /**
     * Tells whether the recent usage of a workspace exceeds its fair share, which is an equal share of the total for
     * each active workspace.
     *
     * @param workspace the workspace, or empty for requests without one
     * @param nowMillis the current time
     * @return true if requests of the other workspaces go first
     */
    public boolean isAboveFairShare(Optional<WorkspaceId> workspace, long nowMillis) {
        Usage usage = workspace.map(usages::get).orElse(null);
        if (usage == null) {
            return false;
        }
        double total =
                usages.values().stream().mapToDouble(u -> u.at(nowMillis)).sum();
        long active = usages.values().stream()
                .filter(u -> u.at(nowMillis) > MIN_ACTIVE_FRACTION * total)
                .count();
        return active > 1 && usage.at(nowMillis) > total / active;
    }

    /**
     * Removes workspaces whose usage has decayed to less than one unit.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        usages.values().removeIf(u -> u.at(nowMillis) < 1);
    }
}
