package org.guavathread.core.placement;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;

/**
 * What the placement needs to know of an engine.
 *
 * @param id the engine
 * @param kind prefill or decode
 * @param dataCentre where it stands
 * @param memoryPieces size of its decode memory in pieces; 0 for a prefill engine
 * @param linkMegabytesPerSecond rate of its transfer link
 */
public record EngineSpec(
        BackendServerId id, BackendKind kind, DataCentreId dataCentre, int memoryPieces, int linkMegabytesPerSecond) {

    /**
     * Takes the fields from the sheet.
     *
     * @param server a backend server of the sheet
     * @return its placement data
     */
    public static EngineSpec of(BackendServer server) {
        return new EngineSpec(
                server.id(),
                server.kind(),
                server.dataCentre(),
                server.memoryPieces(),
                server.linkMegabytesPerSecond());
    }
}
