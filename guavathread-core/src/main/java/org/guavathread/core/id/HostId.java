package org.guavathread.core.id;

/**
 * Names one entry host, as the sheet and the host list write it.
 *
 * @param value the name, for example {@code "curico-1"}
 */
public record HostId(String value) implements Comparable<HostId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public HostId {
        Ids.requireName("host id", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
