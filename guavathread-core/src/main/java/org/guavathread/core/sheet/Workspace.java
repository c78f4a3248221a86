package org.guavathread.core.sheet;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.WorkspaceId;

/**
 * A workspace of the sheet.
 *
 * @param id its name
 * @param keys the hashes of the keys that stand for it
 * @param ratePerSecond tokens a second over all hosts together
 * @param burst tokens that may be used at once
 * @param region the region whose hosts own its limits, if the sheet names one
 */
public record Workspace(WorkspaceId id, List<KeyHash> keys, long ratePerSecond, long burst, Optional<RegionId> region) {

    /** Copies the keys. */
    public Workspace {
        keys = List.copyOf(keys);
    }
}
