package org.guavathread.core.id;

/**
 * Number of a period in which the set of active hosts in the sheet does not change.
 *
 * @param value the version of the sheet that introduced the set
 */
public record HostEpoch(long value) implements Comparable<HostEpoch> {

    /** The epoch of a host that has not accepted any sheet. */
    public static final HostEpoch NONE = new HostEpoch(0);

    /**
     * Tells whether this epoch replaces another one.
     *
     * @param other the other epoch
     * @return true if this one is larger
     */
    public boolean isNewerThan(HostEpoch other) {
        return value > other.value;
    }

    @Override
    public int compareTo(HostEpoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
