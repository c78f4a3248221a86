package org.guavathread.core.publish;

import java.util.List;

import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.registry.DepartedServers;

/**
 * Published state that a host sends to another one that cannot reach the store.
 *
 * @param position the store's position that the sending host has applied
 * @param items all items
 * @param departed servers that the sending host knows to have left
 */
public record StateSnapshot(StorePosition position, List<Item> items, List<DepartedServers.Departure> departed)
        implements PeerMessage {

    /**
     * One item.
     *
     * @param key its key
     * @param revision the store's revision at its last change
     * @param deflated its bytes, compressed with zlib
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Item(String key, long revision, byte[] deflated) {}
}
