package org.guavathread.router.backend;

import java.util.List;
import java.util.Map;

import org.guavathread.core.id.ModelId;

/**
 * The load report of an engine, which describes its state {@code ageMillis} ago.
 *
 * @param memoryPieces total number of decode memory pieces
 * @param usedPieces number of decode memory pieces in use
 * @param queueTokens number of prompt tokens that wait for prefill
 * @param running number of running requests
 * @param ageMillis age of the report in milliseconds
 * @param fencing largest fencing number that the engine has seen
 * @param models loaded models
 * @param versions versions of the loaded models; a model without an entry has an unknown version
 * @param role the role of the engine
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

    /** Copies the models and their versions. */
    public EngineLoad {
        models = List.copyOf(models);
        versions = Map.copyOf(versions);
    }
}
