package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client of the configuration service. */
public interface ConfigService {

    /**
     * Reads a value.
     *
     * @param name its name
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the value, or empty if there is none
     */
    CompletableFuture<Optional<ConfigValue>> read(String name, long deadlineMillis);

    /**
     * Waits for a version of a value that is newer than a known one.
     *
     * @param name its name
     * @param after the known version
     * @param waitMillis longest time that the service waits for a newer version, in milliseconds
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return the newer value, or empty if there was none within the wait
     */
    CompletableFuture<Optional<ConfigValue>> watch(String name, long after, long waitMillis, long deadlineMillis);
}
