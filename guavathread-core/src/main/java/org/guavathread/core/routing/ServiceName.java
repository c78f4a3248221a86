package org.guavathread.core.routing;

/**
 * Name of a service, which is a pool of interchangeable backend servers.
 *
 * @param value the name, for example {@code "patio"}
 */
public record ServiceName(String value) {

    /** Checks the name. */
    public ServiceName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("The service name is missing; give at least one visible character.");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
