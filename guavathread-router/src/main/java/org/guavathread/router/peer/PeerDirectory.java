package org.guavathread.router.peer;

import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;

/** Looks up the known hosts. Called from network threads; must not block. */
public interface PeerDirectory {

    /**
     * Looks up the address on which a host listens for other hosts.
     *
     * @param host the host
     * @return its address, or empty if the host is not known
     */
    Optional<SocketAddressText> addressOf(HostId host);

    /**
     * Decides whether a connection from a host is accepted.
     *
     * @param host the host that the connection claims to come from
     * @param ip the IP address that it comes from
     * @return true if the host is listed with this IP address, or if no list is known yet
     */
    boolean accepts(HostId host, String ip);
}
