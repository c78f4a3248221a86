package org.guavathread.core.id;

/**
 * Names one workspace.
 *
 * @param value the name, for example {@code "prensas-gate"}
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public WorkspaceId {
        Ids.requireName("workspace id", value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
