package org.guavathread.core.sheet;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.ModelId;

/**
 * A backend server of the sheet.
 *
 * @param id its name
 * @param kind its role
 * @param dataCentre the data centre that it runs in
 * @param address the address that it listens on
 * @param state whether it gets new work
 * @param models the models that it must serve; empty for a plain service
 * @param checksOrders whether it refuses an order whose fencing number is smaller than the largest one it has seen
 * @param memoryPieces size of its KV memory in pieces; 0 if it does not decode
 * @param linkMegabytesPerSecond bandwidth of its KV transfer link, in megabytes per second
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

    /** Copies the list of models. */
    public BackendServer {
        models = List.copyOf(models);
    }

    /**
     * Returns whether this server may get new work.
     *
     * @return true if its state is active
     */
    public boolean isActive() {
        return state == AdminState.ACTIVE;
    }
}
