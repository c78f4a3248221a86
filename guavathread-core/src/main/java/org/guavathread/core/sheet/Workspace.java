package org.guavathread.core.sheet;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.WorkspaceId;

/**
 * A workspace of the sheet.
 *
 * @param id its name
 * @param keys the hashes of its API keys
 * @param ratePerSecond rate limit in tokens per second, over all hosts together
 * @param burst burst of the rate limit, in tokens
 * @param region the region whose hosts own its rate limit, if the sheet gives one
 */
public record Workspace(WorkspaceId id, List<KeyHash> keys, long ratePerSecond, long burst, Optional<RegionId> region) {

    /** Copies the keys. */
    public Workspace {
        keys = List.copyOf(keys);
    }
}
