package org.guavathread.core.routing;

import java.util.Optional;

/**
 * Published settings of a service.
 *
 * @param name the service
 * @param engine limits of its backend servers if they are engines
 * @param cold what its servers take after their start; empty if they are never cold
 */
public record ServiceTerms(ServiceName name, Optional<EngineTerms> engine, Optional<ColdTerms> cold) {

    /**
     * What a cold server takes.
     *
     * @param coldMillis time for which a server is cold after its start, in milliseconds
     * @param requestsPerSecond requests a second that a cold server takes from all hosts together
     */
    public record ColdTerms(long coldMillis, double requestsPerSecond) {}

    /**
     * Limits of an engine.
     *
     * @param slots maximum number of requests in one batch; 0 if unbounded
     * @param memoryTokens tokens that its memory holds
     * @param handleMillis lifetime of a prefill result that awaits its transfer, in milliseconds
     * @param reserveMillis maximum lifetime of a memory reservation, in milliseconds; 0 if reservations are not
     *     supported
     */
    public record EngineTerms(int slots, int memoryTokens, long handleMillis, long reserveMillis) {

        /**
         * Returns the memory of one batch slot.
         *
         * @return tokens; 0 if the batch is unbounded
         */
        public int slotTokens() {
            return slots > 0 ? memoryTokens / slots : 0;
        }
    }
}
