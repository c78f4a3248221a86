package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.Worker;

/**
 * Decides which engine of a pool should switch between the prefill and the decode role, so that neither role is short
 * of engines while the other has idle ones. The case it addresses is a load under which all decode engines are full and
 * most prefill engines are idle.
 */
public final class RolePlan {

    /** Smaller pools keep their roles, so that the loss of one engine does not leave a role without any. */
    private static final int MIN_ENGINES = 4;

    /** Surplus of prefill engines above the target that justifies the cost of a role change, in engines. */
    private static final double MIN_SURPLUS_ENGINES = 0.75;

    private final double prefillShare;

    /**
     * Creates a plan.
     *
     * @param prefillShare fraction of the engines that should have the prefill role, 0 to 1
     */
    public RolePlan(double prefillShare) {
        this.prefillShare = prefillShare;
    }

    /**
     * A role change of one engine.
     *
     * @param engine the engine
     * @param stage its new role
     */
    public record Change(Worker engine, EngineStage stage) {}

    /**
     * Decides on the next role change.
     *
     * @param engines the engines of the pool that accept new requests
     * @return the change, or empty if the roles are balanced
     */
    public Optional<Change> next(Collection<Worker> engines) {
        List<Worker> prefillEngines = withStage(engines, EngineStage.PREFILL);
        List<Worker> decodeEngines = withStage(engines, EngineStage.DECODE);
        int total = prefillEngines.size() + decodeEngines.size();
        if (total < MIN_ENGINES) {
            return Optional.empty();
        }
        double target = Math.max(1, prefillShare * total);
        if (prefillEngines.size() - target >= MIN_SURPLUS_ENGINES) {
            return Optional.of(new Change(prefillEngines.get(0), EngineStage.DECODE));
        }
        if (target - prefillEngines.size() >= 1 && decodeEngines.size() > 1) {
            return Optional.of(new Change(decodeEngines.get(0), EngineStage.PREFILL));
        }
        return Optional.empty();
    }

    /** Returns the engines in the order of their ids, so that a repeated decision selects the same one. */
    private static List<Worker> withStage(Collection<Worker> engines, EngineStage stage) {
        return engines.stream()
                .filter(w -> w.stage() == stage)
                .sorted(Comparator.comparing(Worker::id))
                .toList();
    }
}
