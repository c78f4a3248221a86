package org.guavathread.core.limit;

import org.guavathread.core.sheet.Workspace;

/**
 * The rate and burst of a workspace and what follows from them. Amounts inside home hosts are counted in units of
 * 1/6000 token, in which the refill of a millisecond is a whole number for 1, 2 and 3 home hosts.
 *
 * @param ratePerSecond tokens a second over all hosts
 * @param burst tokens that may be used at once over all hosts
 */
public record LimitTerms(long ratePerSecond, long burst) {

    /** At most so many home hosts share the budget of a workspace. */
    public static final int MAX_HOMES = 3;

    /**
     * Ten round trips between data centres of a region. With 250 ms, callers that use their whole burst were refused up to
     * 0.147% of their rightful requests, because the refill of this time is held back from the capacity.
     */
    public static final long MAX_VALIDITY_MILLIS = 100;

    /** The whole share of a workspace; with k home hosts each one has {@code WHOLE_SHARE / k}. */
    static final int WHOLE_SHARE = 6;

    static final long UNITS_PER_TOKEN = 1000L * WHOLE_SHARE;

    /** Clocks are read in whole milliseconds, so a home host may count up to 1 ms of refill too early. */
    private static final long CLOCK_STEP_MILLIS = 1;

    /** A grant that is held while the rest refills must still be valid after the last round trip. */
    private static final long MIN_HOLD_MARGIN_MILLIS = 10;

    /**
     * Reads the terms of a workspace.
     *
     * @param workspace the workspace
     * @return its terms
     */
    public static LimitTerms of(Workspace workspace) {
        return new LimitTerms(workspace.ratePerSecond(), workspace.burst());
    }

    /**
     * Gives how long after its ask a grant may be used.
     *
     * @return milliseconds; 0 if the burst is too small for any grant to be used
     */
    public long validityMillis() {
        return ratePerSecond <= 0
                ? MAX_VALIDITY_MILLIS
                : Math.min(MAX_VALIDITY_MILLIS, burst * 1000 / (2 * ratePerSecond));
    }

    /**
     * Gives what the buckets of all home hosts hold together.
     *
     * @return tokens
     */
    public long totalCapacityTokens() {
        return capacityUnits(WHOLE_SHARE) / UNITS_PER_TOKEN;
    }

    /**
     * Gives the largest request that can be admitted. It is above the capacity, because a request may hold its first
     * grants while the rest refills.
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
        // More than the time that fills the bucket adds nothing; the limit also avoids an overflow of the product.
        return perMilli * Math.min(millis, capacityUnits(share) / perMilli + 1);
    }

    /**
     * Gives how long a number of tokens takes to refill.
     *
     * @param tokens the tokens
     * @param reachableHomes how many home hosts answer
     * @param homes how many home hosts there are
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
