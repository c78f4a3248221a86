package org.guavathread.core.gossip;

import java.util.List;

import org.guavathread.core.message.PeerMessage;

/**
 * What one host sends to another at regular times.
 *
 * @param own the sender's report
 * @param others reports of other hosts, passed on
 * @param signs signs of life of further hosts
 */
public record GossipPacket(HostReport own, List<HostReport> others, List<HostSign> signs) implements PeerMessage {}
