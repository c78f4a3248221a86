package org.guavathread.core.registry;

import java.util.Optional;

import org.guavathread.core.id.BackendServerId;

/**
 * Version of the software that a backend server runs. Versions have no order; only equal ones are compatible.
 *
 * @param value the version, for example {@code "v1.2"}
 */
public record SoftwareVersion(String value) {

    /** Begins the value that stands for the version of a process; the start time and the server's id follow. */
    private static final String UNKNOWN = "unknown@";

    private static final char SEPARATOR = '@';

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

    /**
     * Stands for the version of a process whose entry is not known. It equals only itself, so that nothing else is
     * compatible with it.
     *
     * @param process the process
     * @return a value that names the process
     */
    public static SoftwareVersion unknownOf(ServerProcess process) {
        return new SoftwareVersion(UNKNOWN + process.startedAtMillis() + SEPARATOR + process.server());
    }

    /**
     * Returns the process for whose version this value stands.
     *
     * @return the process, or empty if this is a version
     */
    public Optional<ServerProcess> unknownProcess() {
        int end = value.indexOf(SEPARATOR, UNKNOWN.length());
        if (!value.startsWith(UNKNOWN) || end < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ServerProcess(
                    new BackendServerId(value.substring(end + 1)),
                    Long.parseLong(value.substring(UNKNOWN.length(), end))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
