package org.guavathread.core.membership;

import org.guavathread.core.id.HostId;

/**
 * The latest report of a peer.
 *
 * @param host the peer
 * @param report the report
 * @param heardAtMillis when it was received
 */
public record Peer(HostId host, PeerReport report, long heardAtMillis) {}
