package org.guavathread.core.sheet;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;

/**
 * A host of the sheet.
 *
 * @param id its name
 * @param dataCentre the data centre that it runs in
 * @param callers address that callers connect to
 * @param peers address that other hosts connect to
 * @param admin address of the admin interface for operators
 * @param state whether it gets new work
 */
public record Host(
        HostId id,
        DataCentreId dataCentre,
        SocketAddressText callers,
        SocketAddressText peers,
        SocketAddressText admin,
        AdminState state) {

    /**
     * Returns whether this host takes part in rendezvous hashing, so that it can own keys.
     *
     * @return true if its state is active
     */
    public boolean isActive() {
        return state == AdminState.ACTIVE;
    }
}
