package org.guavathread.core.sheet;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.RegionId;

/**
 * A data centre of the sheet.
 *
 * @param id its name
 * @param region the region that it belongs to
 */
public record DataCentre(DataCentreId id, RegionId region) {}
