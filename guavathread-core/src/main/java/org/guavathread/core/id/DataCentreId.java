package org.guavathread.core.id;

/**
 * Names one data centre.
 *
 * @param value the name, for example {@code "curico"}
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public DataCentreId {
        Ids.requireName("data centre id", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
