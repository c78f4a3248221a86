package org.guavathread.core.placement;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;

/**
 * The properties of an engine that placement uses.
 *
 * @param id the engine
 * @param kind prefill or decode
 * @param dataCentre its data centre
 * @param memoryPieces size of its decode memory in pieces; 0 for a prefill engine
 * @param linkMegabytesPerSecond rate of its transfer link
 */
public record EngineSpec(
        BackendServerId id, BackendKind kind, DataCentreId dataCentre, int memoryPieces, int linkMegabytesPerSecond) {

    /**
     * Creates the specification from a backend server of the sheet.
     *
     * @param server a backend server of the sheet
     * @return its specification
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
