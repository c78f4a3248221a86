package org.guavathread.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.BackendServerId;

/**
 * Approximate index of the engines' prefix caches. Cache events may arrive late or get lost. After a gap in the
 * sequence numbers, the entries of the engine are uncertain until a later event or a prefill confirms them.
 */
public final class PrefixIndex {

    private static final int MAX_ENTRIES_PER_ENGINE = 20_000;

    private final Map<BackendServerId, Cache> caches = new HashMap<>();

    private static final class Cache {
        private long lastSequence;
        private long generation;
        private final Map<PrefixHash, Long> generations = new LinkedHashMap<>(64, 0.75f, true);

        private void add(PrefixHash hash) {
            generations.put(hash, generation);
            if (generations.size() > MAX_ENTRIES_PER_ENGINE) {
                generations.remove(generations.keySet().iterator().next());
            }
        }
    }

    /**
     * How much of a prompt an engine has cached.
     *
     * @param certainBlocks leading blocks that are known to be cached
     * @param possibleBlocks leading blocks that are cached or were before lost events; at least {@code certainBlocks}
     */
    public record Match(int certainBlocks, int possibleBlocks) {

        /**
         * Estimates the cached blocks, counting an uncertain block as half.
         *
         * @return blocks
         */
        public double expectedBlocks() {
            return certainBlocks + (possibleBlocks - certainBlocks) / 2.0;
        }
    }

    /**
     * Applies a cache event.
     *
     * @param event the event; if it is not newer than the last one, only its removals are applied
     */
    public void apply(CacheEvent event) {
        Cache cache = caches.computeIfAbsent(event.engine(), e -> new Cache());
        boolean stale = event.sequence() <= cache.lastSequence;
        if (!stale) {
            if (event.sequence() != cache.lastSequence + 1) {
                cache.generation++;
            }
            cache.lastSequence = event.sequence();
            event.added().forEach(cache::add);
        }
        event.removed().forEach(cache.generations::remove);
    }

    /**
     * Records that an engine has a prompt in its cache, because it has just processed it.
     *
     * @param engine the engine
     * @param prefixes hashes of the leading blocks of the prompt
     */
    public void confirm(BackendServerId engine, List<PrefixHash> prefixes) {
        Cache cache = caches.computeIfAbsent(engine, e -> new Cache());
        prefixes.forEach(cache::add);
    }

    /**
     * Matches a prompt against the cache of an engine.
     *
     * @param engine the engine
     * @param prefixes hashes of the leading blocks of the prompt, shortest first
     * @return the longest leading match
     */
    public Match match(BackendServerId engine, List<PrefixHash> prefixes) {
        Cache cache = caches.get(engine);
        if (cache == null) {
            return new Match(0, 0);
        }
        int certain = 0;
        int possible = 0;
        for (PrefixHash prefix : prefixes) {
            Long generation = cache.generations.get(prefix);
            if (generation == null) {
                break;
            }
            if (certain == possible && generation == cache.generation) {
                certain++;
            }
            possible++;
        }
        return new Match(certain, possible);
    }

    /**
     * Removes the entries of an engine that was removed, failed or restarted.
     *
     * @param engine the engine
     */
    public void forget(BackendServerId engine) {
        caches.remove(engine);
    }
}
