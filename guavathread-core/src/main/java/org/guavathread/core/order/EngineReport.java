package org.guavathread.core.order;

import java.util.Map;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/**
 * State that an engine reports about itself.
 *
 * @param server the engine
 * @param versionsByModel the models that it serves, with their versions
 * @param role its current role, prefill or decode
 * @param fencing the largest fencing number that it has seen; {@link FencingNumber#NONE} if it ignores them
 * @param loadPermille utilisation in thousandths: of the memory of a decode engine, or of the prompt tokens that a
 *     prefill engine computes in a second; over 1,000 if requests are queued
 * @param takenAtMillis latest possible time of the report, in milliseconds since the epoch: the time of the query minus
 *     the age that the engine states
 */
public record EngineReport(
        BackendServerId server,
        Map<String, String> versionsByModel,
        BackendKind role,
        FencingNumber fencing,
        int loadPermille,
        long takenAtMillis) {

    /** Copies the map of versions. */
    public EngineReport {
        versionsByModel = Map.copyOf(versionsByModel);
    }
}
