package org.guavathread.core.publish;

import java.util.Optional;

import org.guavathread.core.id.DataCentreId;

/**
 * A change of the published state as this host applied it, for the log.
 *
 * @param what kind of the changed item: {@code configuration}, {@code server} or {@code evacuation}
 * @param name version of the configuration, id of the server or name of the data centre
 * @param outcome effect of the change
 * @param revision the store's revision of the change
 */
public record StateChange(String what, String name, String outcome, long revision) {

    /** Kind of an item that evacuates a data centre. */
    static final String EVACUATION = "evacuation";

    /**
     * Returns the data centre of which the evacuation has begun or ended.
     *
     * @return the data centre, or empty if this change concerns another kind of item
     */
    public Optional<DataCentreId> evacuation() {
        return what.equals(EVACUATION) ? Optional.of(new DataCentreId(name)) : Optional.empty();
    }
}
