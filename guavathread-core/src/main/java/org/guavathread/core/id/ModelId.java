package org.guavathread.core.id;

/**
 * Names one model.
 *
 * @param value the name, for example {@code "resumidor"}
 */
public record ModelId(String value) implements Comparable<ModelId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public ModelId {
        Ids.requireName("model id", value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
