package org.guavathread.wire;

import java.util.HashMap;
import java.util.Map;

import org.guavathread.core.message.PeerMessage;

/**
 * Maps each message type to its number on the wire. A number must never be reused for another type.
 *
 * <pre>{@code
 * MessageRegistry registry = new MessageRegistry().register(1, Hello.class).register(2, Heartbeat.class);
 * }</pre>
 */
public final class MessageRegistry {

    private final Map<Integer, Class<? extends PeerMessage>> typesByNumber = new HashMap<>();
    private final Map<Class<? extends PeerMessage>, Integer> numbersByType = new HashMap<>();

    /**
     * Registers a message type.
     *
     * @param number its number, at least 1
     * @param type a record class
     * @return this registry
     * @throws IllegalArgumentException if the number or the type is taken, or the type is not a record
     */
    public MessageRegistry register(int number, Class<? extends PeerMessage> type) {
        if (!type.isRecord()) {
            throw new IllegalArgumentException(type.getName() + " is not a record; messages must be records.");
        }
        if (typesByNumber.putIfAbsent(number, type) != null || numbersByType.putIfAbsent(type, number) != null) {
            throw new IllegalArgumentException(
                    "Message number " + number + " or type " + type.getName() + " is already registered.");
        }
        return this;
    }

    int numberOf(Class<? extends PeerMessage> type) {
        Integer number = numbersByType.get(type);
        if (number == null) {
            throw new CodecException(type.getName() + " has no message number; register it.");
        }
        return number;
    }

    Class<? extends PeerMessage> typeOf(int number) {
        Class<? extends PeerMessage> type = typesByNumber.get(number);
        if (type == null) {
            throw new UnknownMessageException(number);
        }
        return type;
    }
}
