package org.guavathread.router.service;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.router.peer.PeerHandler;
import org.tinylog.Logger;

/**
 * Dispatches each message of another host to the handler of its type.
 *
 * <pre>{@code
 * router.on(BudgetTake.class, (from, take, reply) -> limits.take(from, take, reply));
 * }</pre>
 */
public final class PeerRouter implements PeerHandler {

    /**
     * Handles one type of message.
     *
     * @param <M> the type
     */
    @FunctionalInterface
    public interface Route<M extends PeerMessage> {

        /**
         * Handles a message; must not block.
         *
         * @param from the sender
         * @param message the message
         * @param reply sends the answer
         */
        void handle(HostId from, M message, Consumer<PeerMessage> reply);
    }

    private final Map<Class<?>, PeerHandler> routes = new ConcurrentHashMap<>();

    /**
     * Registers the handler of a type.
     *
     * @param type the type
     * @param route the handler
     * @param <M> the type
     * @return this router
     */
    public <M extends PeerMessage> PeerRouter on(Class<M> type, Route<M> route) {
        routes.put(type, (from, message, reply) -> route.handle(from, type.cast(message), reply));
        return this;
    }

    @Override
    public void handle(HostId from, PeerMessage message, Consumer<PeerMessage> reply) {
        PeerHandler route = routes.get(message.getClass());
        if (route == null) {
            Logger.warn(
                    "Host {} sent {}, for which no handler is registered.",
                    from,
                    message.getClass().getSimpleName());
            return;
        }
        route.handle(from, message, reply);
    }
}
