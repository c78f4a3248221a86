package org.guavathread.core.registry;

/**
 * Version of the software that a backend server runs. Versions have no order; only equal ones are compatible.
 *
 * @param value the version, for example {@code "v1.2"}
 */
public record SoftwareVersion(String value) {

    /**
     * Checks the version.
     *
     * @throws IllegalArgumentException if the version is null or blank
     */
    public SoftwareVersion {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("The software version is missing; give at least one visible character.");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
