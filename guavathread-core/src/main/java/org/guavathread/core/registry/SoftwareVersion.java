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

    /** Ends the server's id, if a version follows; ids contain no spaces. */
    private static final char END_OF_ID = ' ';

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
     * Stands for this version or that of a process whose entry is not known.
     *
     * @param process the process
     * @return a value that names both; it equals only itself
     */
    public SoftwareVersion orThatOf(ServerProcess process) {
        return new SoftwareVersion(unknownOf(process).value() + END_OF_ID + value);
    }

    /**
     * Returns the version that this value stands for, once that of its process is known.
     *
     * @param ofProcess version of the process that {@link #unknownProcess()} returns
     * @return that version, or this value if it may stand for another one too
     */
    public SoftwareVersion resolvedBy(SoftwareVersion ofProcess) {
        int end = value.indexOf(END_OF_ID);
        return end < 0 || value.substring(end + 1).equals(ofProcess.value()) ? ofProcess : this;
    }

    /**
     * Returns the process for whose version this value stands.
     *
     * @return the process, or empty if this is a version
     */
    public Optional<ServerProcess> unknownProcess() {
        int start = value.indexOf(SEPARATOR, UNKNOWN.length());
        if (!value.startsWith(UNKNOWN) || start < 0) {
            return Optional.empty();
        }
        int end = value.indexOf(END_OF_ID);
        try {
            return Optional.of(new ServerProcess(
                    new BackendServerId(value.substring(start + 1, end < 0 ? value.length() : end)),
                    Long.parseLong(value.substring(UNKNOWN.length(), start))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
