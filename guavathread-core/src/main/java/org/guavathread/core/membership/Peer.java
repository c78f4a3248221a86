package org.guavathread.core.membership;

import org.guavathread.core.id.HostId;

/**
 * The latest report of a peer.
 *
 * @param host the peer
 * @param report the report
 * @param receivedAtMillis when it was received
 */
public record Peer(HostId host, PeerReport report, long receivedAtMillis) {}
