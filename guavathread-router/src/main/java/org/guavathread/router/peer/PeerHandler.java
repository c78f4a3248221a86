package org.guavathread.router.peer;

import java.util.function.Consumer;

import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;

/** Takes messages from other hosts. Called from network threads; must hand over and return. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Takes a message.
     *
     * @param from the host that sent it
     * @param message the message
     * @param reply sends the answer, from any thread; has no effect if the sender expects none
     */
    void handle(HostId from, PeerMessage message, Consumer<PeerMessage> reply);
}
