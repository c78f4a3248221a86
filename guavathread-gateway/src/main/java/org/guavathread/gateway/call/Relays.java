package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;

/** The hosts that can send requests to backend servers for this one. */
public interface Relays {

    /**
     * A host that relays requests.
     *
     * @param host its name
     * @param address its address for other hosts
     */
    record RelayHost(HostId host, SocketAddressText address) {}

    /**
     * Picks a host.
     *
     * @param tried hosts that were tried for the same request
     * @param allowed tells whether the request may pass through a data centre
     * @return a host there that serves callers and reaches the servers, or empty if none is known
     */
    Optional<RelayHost> next(Set<HostId> tried, Predicate<DataCentreId> allowed);

    /**
     * Records that a host did not relay a request, so that others are picked for a while.
     *
     * @param host the host
     */
    void failed(HostId host);
}
