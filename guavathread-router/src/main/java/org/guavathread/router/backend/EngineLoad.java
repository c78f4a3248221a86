package org.guavathread.router.backend;

import java.util.List;
import java.util.Map;

import org.guavathread.core.id.ModelId;

/**
 * What an engine reports about itself. Reports lag by {@code ageMillis}.
 *
 * @param memoryPieces decode memory pieces in all
 * @param usedPieces decode memory pieces in use
 * @param queueTokens prompt tokens that wait for prefill
 * @param running number of running requests
 * @param ageMillis age of the report in milliseconds
 * @param fencing largest fencing number that the engine has seen
 * @param models models that it has loaded
 * @param versions versions of the models; a model that is missing here has an unknown version
 * @param role the work it does
 */
public record EngineLoad(
        int memoryPieces,
        int usedPieces,
        long queueTokens,
        int running,
        long ageMillis,
        long fencing,
        List<ModelId> models,
        Map<ModelId, String> versions,
        EngineRole role) {

    /** Copies the models. */
    public EngineLoad {
        models = List.copyOf(models);
        versions = Map.copyOf(versions);
    }
}
