package org.guavathread.core.order;

/** Spaces the loads that one issuer starts, so that all issuers together stay within the rate of the weight store. */
final class StorePace {

    private static final double MILLIS_PER_SECOND = 1_000;

    private long nextLoadAtMillis;

    boolean mayLoad(long nowMillis) {
        return nowMillis >= nextLoadAtMillis;
    }

    /**
     * Books a load.
     *
     * @param megabytes size of the weights
     * @param megabytesPerSecond this issuer's share of the rate
     */
    void loadStarted(long megabytes, double megabytesPerSecond, long nowMillis) {
        long duration = (long) Math.ceil(megabytes / megabytesPerSecond * MILLIS_PER_SECOND);
        nextLoadAtMillis = Math.max(nowMillis, nextLoadAtMillis) + duration;
    }
}
