package org.guavathread.wire;

import org.guavathread.core.message.PeerMessage;

/**
 * One message between hosts with its correlation number.
 *
 * @param correlation matches a reply to its request; 0 for a message that expects no reply
 * @param reply whether this frame is the reply to the request with that number
 * @param message the message
 */
public record Frame(long correlation, boolean reply, PeerMessage message) {}
