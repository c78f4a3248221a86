package org.guavathread.core.membership;

import org.guavathread.core.message.PeerMessage;

/**
 * Tells a peer that the sender is alive; the peer answers with a {@link HeartbeatAck}.
 *
 * @param report the sender's state
 */
public record Heartbeat(PeerReport report) implements PeerMessage {}
