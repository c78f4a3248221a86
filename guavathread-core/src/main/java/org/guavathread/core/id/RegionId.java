package org.guavathread.core.id;

/**
 * Names one region, a group of data centres.
 *
 * @param value the name, for example {@code "maule"}
 */
public record RegionId(String value) implements Comparable<RegionId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public RegionId {
        Ids.requireName("region id", value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
