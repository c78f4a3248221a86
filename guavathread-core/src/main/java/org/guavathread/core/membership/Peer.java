package org.guavathread.core.membership;

import org.guavathread.core.id.HostId;

/**
 * What a host knows of a peer.
 *
 * @param host the peer
 * @param report its newest report
 * @param heardAtMillis when that came
 */
public record Peer(HostId host, PeerReport report, long heardAtMillis) {}
