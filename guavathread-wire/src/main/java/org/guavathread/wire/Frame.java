package org.guavathread.wire;

import org.guavathread.core.message.PeerMessage;

/**
 * One frame between hosts.
 *
 * @param correlation joins a reply to its request; 0 for a message that expects no reply
 * @param reply whether this frame answers the request of that number
 * @param message the message
 */
public record Frame(long correlation, boolean reply, PeerMessage message) {}
