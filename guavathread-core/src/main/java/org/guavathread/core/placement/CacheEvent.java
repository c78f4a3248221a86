package org.guavathread.core.placement;

import java.util.List;

import org.guavathread.core.id.BackendServerId;

/**
 * A change of an engine's prefix cache, as the engine publishes it.
 *
 * @param engine the engine
 * @param sequence number of the event; the engine counts from 1 without gaps
 * @param added prefixes that entered the cache
 * @param removed prefixes that left the cache
 */
public record CacheEvent(BackendServerId engine, long sequence, List<PrefixHash> added, List<PrefixHash> removed) {

    /** Copies the lists. */
    public CacheEvent {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}
