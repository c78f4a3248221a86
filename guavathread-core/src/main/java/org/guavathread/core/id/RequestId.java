package org.guavathread.core.id;

/**
 * Names one request; unique over all hosts and restarts.
 *
 * @param value the name, for example {@code "curico-1-18f3a-7"}
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public RequestId {
        Ids.requireName("request id", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
