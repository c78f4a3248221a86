package org.guavathread.core.limit;

import org.guavathread.core.sheet.Workspace;

/**
 * The rate and burst of a workspace and the values derived from them. Home hosts count in units of 1/6000 token, so
 * that the refill of one millisecond is a whole number with 1, 2 or 3 home hosts.
 *
 * @param ratePerSecond tokens per second over all hosts
 * @param burst tokens that may be used at once over all hosts
 */
public record LimitTerms(long ratePerSecond, long burst) {

    /** Maximum number of home hosts that share the budget of a workspace. */
    public static final int MAX_HOMES = 3;

    /**
     * Maximum validity of a grant: ten round trips between data centres of a region. The refill of this time is
     * withheld from the capacity. For this reason, at 250 ms callers that use their whole burst were refused up to
     * 0.147% of the requests that they were entitled to.
     */
    public static final long MAX_VALIDITY_MILLIS = 100;

    /** The whole budget of a workspace as a share; each of k home hosts owns {@code WHOLE_SHARE / k}. */
    static final int WHOLE_SHARE = 6;

    static final long UNITS_PER_TOKEN = 1000L * WHOLE_SHARE;

    /** Clock resolution: a home host may count up to 1 ms of refill too early. */
    private static final long CLOCK_STEP_MILLIS = 1;

    /** Minimum margin so that a grant held while the rest refills is still valid after the last round trip. */
    private static final long MIN_HOLD_MARGIN_MILLIS = 10;

    /**
     * Returns the terms of a workspace.
     *
     * @param workspace the workspace
     * @return its terms
     */
    public static LimitTerms of(Workspace workspace) {
        return new LimitTerms(workspace.ratePerSecond(), workspace.burst());
    }

    /**
     * Returns how long a grant is valid, counted from the sending of the take.
     *
     * @return milliseconds; 0 if the burst is too small for any grant
     */
    public long validityMillis() {
        return ratePerSecond <= 0
                ? MAX_VALIDITY_MILLIS
                : Math.min(MAX_VALIDITY_MILLIS, burst * 1000 / (2 * ratePerSecond));
    }

    /**
     * Returns the total capacity of the buckets of all home hosts.
     *
     * @return tokens
     */
    public long totalCapacityTokens() {
        return capacityUnits(WHOLE_SHARE) / UNITS_PER_TOKEN;
    }

    /**
     * Returns the size of the largest request that can be admitted. It exceeds the capacity, because a request may hold
     * its first grants while the rest refills.
     *
     * @return tokens
     */
    public long largestRequestTokens() {
        return totalCapacityTokens() + ratePerSecond * Math.max(0, validityMillis() - holdMarginMillis()) / 1000;
    }

    long holdMarginMillis() {
        return Math.max(MIN_HOLD_MARGIN_MILLIS, validityMillis() / 5);
    }

    long capacityUnits(int share) {
        long held = ratePerSecond * (validityMillis() + CLOCK_STEP_MILLIS);
        return Math.max(0, burst * 1000 - held) * share;
    }

    long refillUnits(int share, long millis) {
        long perMilli = ratePerSecond * share;
        if (perMilli <= 0) {
            return 0;
        }
        // Time beyond a full bucket adds nothing; the limit also prevents an overflow of the product.
        return perMilli * Math.min(millis, capacityUnits(share) / perMilli + 1);
    }

    /**
     * Returns how long the refill of a number of tokens takes.
     *
     * @param tokens the tokens
     * @param reachableHomes number of home hosts that respond
     * @param homes number of home hosts
     * @return milliseconds, rounded up; {@link Long#MAX_VALUE} if they never refill
     */
    long millisToRefill(long tokens, int reachableHomes, int homes) {
        if (tokens <= 0) {
            return 0;
        }
        long perSecond = ratePerSecond * reachableHomes;
        return perSecond <= 0 ? Long.MAX_VALUE : (tokens * 1000 * homes + perSecond - 1) / perSecond;
    }
}
