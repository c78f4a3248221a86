package org.guavathread.core.publish;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.registry.DepartedServers;

/**
 * What a host knows of the published state and another one does not know.
 *
 * @param position the store's position that the sending host has applied
 * @param items all items except the configuration, or empty if the other host has applied that position
 * @param configuration the configuration in force, or empty if the other host has it
 * @param departed servers that the sending host knows to have left
 */
public record StateSnapshot(
        StorePosition position,
        Optional<List<Item>> items,
        Optional<Item> configuration,
        List<DepartedServers.Departure> departed)
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
