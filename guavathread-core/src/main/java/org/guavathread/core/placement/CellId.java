package org.guavathread.core.placement;

import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;

/**
 * Identifies a cell: a group of engines that serve one model in one region.
 *
 * @param model the model
 * @param region the region
 * @param number number of the cell among the cells of this model and region, from 0
 */
public record CellId(ModelId model, RegionId region, int number) {

    /**
     * Returns the rendezvous hashing key of this cell.
     *
     * @return for example {@code "cell:resumidor/maule/0"}
     */
    public String ownerKey() {
        return "cell:" + model + "/" + region + "/" + number;
    }
}
