package org.guavathread.core.id;

/**
 * Names one route of the sheet.
 *
 * @param value the name, for example {@code "booking"}
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public RouteId {
        Ids.requireName("route id", value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
