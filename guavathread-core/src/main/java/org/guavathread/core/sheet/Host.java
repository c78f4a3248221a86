package org.guavathread.core.sheet;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;

/**
 * A host of the sheet.
 *
 * @param id its name
 * @param dataCentre where it stands
 * @param callers address for callers
 * @param peers address for other hosts
 * @param admin address for operators
 * @param state whether it is to take work
 */
public record Host(
        HostId id,
        DataCentreId dataCentre,
        SocketAddressText callers,
        SocketAddressText peers,
        SocketAddressText admin,
        AdminState state) {

    /**
     * Tells whether this host owns keys of the rendezvous hashing.
     *
     * @return true if its state is active
     */
    public boolean isActive() {
        return state == AdminState.ACTIVE;
    }
}
