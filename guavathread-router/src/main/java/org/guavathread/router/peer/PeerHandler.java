package org.guavathread.router.peer;

import java.util.function.Consumer;

import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;

/** Handles messages from other hosts. Called from network threads; must not block. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a message.
     *
     * @param from the host that sent it
     * @param message the message
     * @param reply sends the reply, from any thread; has no effect if the sender expects none
     */
    void handle(HostId from, PeerMessage message, Consumer<PeerMessage> reply);
}
