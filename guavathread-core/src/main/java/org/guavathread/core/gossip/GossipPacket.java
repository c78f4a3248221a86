package org.guavathread.core.gossip;

import java.util.List;

import org.guavathread.core.message.PeerMessage;

/**
 * Datagram that hosts periodically send to each other.
 *
 * @param own the sender's report
 * @param others forwarded reports of other hosts
 * @param heartbeats heartbeats of further hosts
 */
public record GossipPacket(HostReport own, List<HostReport> others, List<HostHeartbeat> heartbeats)
        implements PeerMessage {}
