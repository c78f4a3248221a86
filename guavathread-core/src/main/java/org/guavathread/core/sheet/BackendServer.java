package org.guavathread.core.sheet;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.ModelId;

/**
 * A backend server of the sheet.
 *
 * @param id its name
 * @param kind what it does
 * @param dataCentre where it stands
 * @param address where it answers
 * @param state whether it is to get new work
 * @param models the models that it is to serve; empty for a plain service
 * @param checksOrders whether it refuses an order with an old fencing number
 * @param memoryPieces size of its KV memory in pieces; 0 where it does not decode
 * @param linkMegabytesPerSecond rate of its transfer link
 */
public record BackendServer(
        BackendServerId id,
        BackendKind kind,
        DataCentreId dataCentre,
        SocketAddressText address,
        AdminState state,
        List<ModelId> models,
        boolean checksOrders,
        int memoryPieces,
        int linkMegabytesPerSecond) {

    /** Copies the models. */
    public BackendServer {
        models = List.copyOf(models);
    }

    /**
     * Tells whether new work may go to this server.
     *
     * @return true if its state is active
     */
    public boolean isActive() {
        return state == AdminState.ACTIVE;
    }
}
