package org.guavathread.core.membership;

import org.guavathread.core.message.PeerMessage;

/**
 * Answers a {@link Heartbeat}.
 *
 * @param report the state of the answering host
 */
public record HeartbeatAck(PeerReport report) implements PeerMessage {}
