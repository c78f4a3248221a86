package org.guavathread.core.id;

/**
 * Names one backend server: a prefill engine, a decode engine or a plain service.
 *
 * @param value the name, for example {@code "resumidor-p1"}
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public BackendServerId {
        Ids.requireName("backend server id", value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
