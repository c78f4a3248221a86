package org.guavathread.core.order;

import java.util.Map;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/**
 * What an engine says about itself.
 *
 * @param server the engine
 * @param versionsByModel the models that it serves, with their versions
 * @param role its role
 * @param fencing the largest fencing number that it has seen; {@link FencingNumber#NONE} if it ignores them
 * @param loadPermille how much of its capacity is in use, in thousandths: of its memory for a decode engine, of the
 *     prompt tokens that it computes in a second for a prefill engine; over 1,000 if requests wait
 * @param takenAtMillis when it was made at the latest: the time of asking minus the age that the engine gives
 */
public record EngineReport(
        BackendServerId server,
        Map<String, String> versionsByModel,
        BackendKind role,
        FencingNumber fencing,
        int loadPermille,
        long takenAtMillis) {

    /** Copies the map. */
    public EngineReport {
        versionsByModel = Map.copyOf(versionsByModel);
    }
}
