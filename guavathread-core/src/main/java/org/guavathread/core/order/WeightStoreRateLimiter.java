package org.guavathread.core.order;

/**
 * Rate limiter for the loads that one issuer starts. It keeps all issuers together within the rate of the weight store.
 */
final class WeightStoreRateLimiter {

    private static final double MILLIS_PER_SECOND = 1_000;

    private long nextLoadAtMillis;

    boolean mayLoad(long nowMillis) {
        return nowMillis >= nextLoadAtMillis;
    }

    /**
     * Records a started load and delays the next one by its expected duration.
     *
     * @param megabytes size of the weights
     * @param megabytesPerSecond this issuer's share of the rate
     */
    void loadStarted(long megabytes, double megabytesPerSecond, long nowMillis) {
        long durationMillis = (long) Math.ceil(megabytes / megabytesPerSecond * MILLIS_PER_SECOND);
        nextLoadAtMillis = Math.max(nowMillis, nextLoadAtMillis) + durationMillis;
    }
}
