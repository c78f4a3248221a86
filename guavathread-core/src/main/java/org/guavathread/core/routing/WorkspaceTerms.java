package org.guavathread.core.routing;

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
 */
public record WorkspaceTerms(
        WorkspaceId id,
        Set<String> apiKeys,
        double unitsPerSecond,
        double burstUnits,
        boolean countsTokens,
        int defaultTokens) {

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
}
