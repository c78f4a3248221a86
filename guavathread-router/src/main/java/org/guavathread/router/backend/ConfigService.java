package org.guavathread.router.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The configuration service. */
public interface ConfigService {

    /**
     * Reads a value.
     *
     * @param name its name
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the value, or empty if there is none
     */
    CompletableFuture<Optional<ConfigValue>> read(String name, long deadlineMillis);

    /**
     * Waits for a newer value.
     *
     * @param name its name
     * @param after version that is already known
     * @param waitMillis how long the service may hold the call, in milliseconds
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return the newer value, or empty if none came in time
     */
    CompletableFuture<Optional<ConfigValue>> watch(String name, long after, long waitMillis, long deadlineMillis);
}
