package org.guavathread.core.routing;

import java.util.Optional;

/**
 * What is published about a service.
 *
 * @param name the service
 * @param engine what its backend servers can do if they are engines
 */
public record ServiceTerms(ServiceName name, Optional<EngineTerms> engine) {

    /**
     * Limits of an engine.
     *
     * @param slots greatest number of requests in one batch
     * @param memoryTokens tokens that its memory holds
     * @param handleMillis how long the result of a prefill is kept for the transfer, in milliseconds
     * @param reserveMillis how long reserved room is kept at most, in milliseconds; 0 if none can be reserved
     */
    public record EngineTerms(int slots, int memoryTokens, long handleMillis, long reserveMillis) {

        /**
         * Gives the memory for each request of a full batch.
         *
         * @return tokens
         */
        public int slotTokens() {
            return slots > 0 ? memoryTokens / slots : 0;
        }
    }
}
