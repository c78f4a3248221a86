package org.guavathread.core.publish;

import java.util.Comparator;

/**
 * A point in the store's history. Revisions grow within an epoch. A store that returns from an older copy begins the next
 * epoch, in which it assigns the revisions after that copy again, so revisions of different epochs cannot be compared.
 *
 * @param epoch number of the epoch; 0 for a store that names none
 * @param revision the store's revision within the epoch; 0 before the first change
 */
public record StorePosition(long epoch, long revision) implements Comparable<StorePosition> {

    /** Position of a host that has applied nothing. */
    public static final StorePosition START = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::epoch).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /**
     * Tells whether this position lies after another one.
     *
     * @param other the other position
     * @return true if the epoch is later, or the revision is higher in the same epoch
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }
}
