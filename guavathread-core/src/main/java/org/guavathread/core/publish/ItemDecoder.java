package org.guavathread.core.publish;

import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.RoutingTable;

/** Decodes items of the store into the types of this project. */
public interface ItemDecoder {

    /**
     * Tells whether a key holds the configuration.
     *
     * @param key the key
     * @return true for the configuration's key
     */
    boolean isConfiguration(String key);

    /**
     * Returns the backend server to which a key belongs.
     *
     * @param key the key
     * @return its id, or empty if the key belongs to no backend server
     */
    Optional<BackendServerId> serverOf(String key);

    /**
     * Returns the data centre that an item evacuates for as long as it is stored.
     *
     * @param key the item's key
     * @return the data centre, or empty if the key belongs to no evacuation
     */
    Optional<DataCentreId> evacuatedBy(String key);

    /**
     * Decodes the configuration.
     *
     * @param value the item's bytes
     * @return the configuration
     * @throws IllegalArgumentException if the bytes cannot be decoded; the message gives the reason
     */
    RoutingTable configuration(byte[] value);

    /**
     * Decodes a backend server's entry.
     *
     * @param id the server
     * @param value the item's bytes
     * @param nowMillis the current time, from which the durations in the entry count
     * @return the entry
     * @throws IllegalArgumentException if the bytes do not describe a valid server; the message gives the reason
     */
    Worker server(BackendServerId id, byte[] value, long nowMillis);
}
