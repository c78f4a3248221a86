package org.guavathread.core.routing;

import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.WorkspaceId;

/**
 * Published settings of a workspace: its API keys and its rate limit over all hosts.
 *
 * @param id the workspace
 * @param apiKeys the API keys that are in force
 * @param unitsPerSecond refill rate of its token bucket, in units of {@link #costOf}; 0 means no limit
 * @param burstUnits capacity of its token bucket
 * @param countsTokens whether a unit is a token rather than a request
 * @param defaultTokens charge of a request without a token count, in tokens
 * @param priority priority of its requests, which goes before that of their routes; empty if it has none
 * @param homes the regions that its requests may reach
 */
public record WorkspaceTerms(
        WorkspaceId id,
        Set<String> apiKeys,
        double unitsPerSecond,
        double burstUnits,
        boolean countsTokens,
        int defaultTokens,
        Optional<Priority> priority,
        HomeRegions homes) {

    /** Copies the keys. */
    public WorkspaceTerms {
        apiKeys = Set.copyOf(apiKeys);
    }

    /**
     * Tells whether the workspace has a limit.
     *
     * @return false if its rate is unlimited
     */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }

    /**
     * Returns the charge of a request.
     *
     * @param tokens its prompt and output tokens; 0 if the request gives no count
     * @return the charge in units
     */
    public double costOf(int tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : defaultTokens;
    }

    /**
     * Returns a builder of a workspace without a limit.
     *
     * @param id the workspace
     * @return the builder
     */
    public static Builder builder(WorkspaceId id) {
        return new Builder(id);
    }

    /** Builds the settings of a workspace. */
    public static final class Builder {

        private final WorkspaceId id;
        private Set<String> apiKeys = Set.of();
        private double unitsPerSecond;
        private double burstUnits;
        private boolean countsTokens;
        private int defaultTokens = 1;
        private Optional<Priority> priority = Optional.empty();
        private HomeRegions homes = HomeRegions.ANY;

        private Builder(WorkspaceId id) {
            this.id = id;
        }

        /**
         * Sets the API keys.
         *
         * @param apiKeys the keys that are in force
         * @return this builder
         */
        public Builder apiKeys(Set<String> apiKeys) {
            this.apiKeys = apiKeys;
            return this;
        }

        /**
         * Sets the limit.
         *
         * @param unitsPerSecond refill rate of the token bucket; 0 means no limit
         * @param burstUnits capacity of the token bucket
         * @return this builder
         */
        public Builder limit(double unitsPerSecond, double burstUnits) {
            this.unitsPerSecond = unitsPerSecond;
            this.burstUnits = burstUnits;
            return this;
        }

        /**
         * Sets that a unit is a token.
         *
         * @param defaultTokens charge of a request without a token count, in tokens
         * @return this builder
         */
        public Builder countsTokens(int defaultTokens) {
            this.countsTokens = true;
            this.defaultTokens = defaultTokens;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param priority the priority, or empty if that of the routes holds
         * @return this builder
         */
        public Builder priority(Optional<Priority> priority) {
            this.priority = priority;
            return this;
        }

        /**
         * Sets the regions that requests may reach.
         *
         * @param homes the regions
         * @return this builder
         */
        public Builder homes(HomeRegions homes) {
            this.homes = homes;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public WorkspaceTerms build() {
            return new WorkspaceTerms(
                    id, apiKeys, unitsPerSecond, burstUnits, countsTokens, defaultTokens, priority, homes);
        }
    }
}
