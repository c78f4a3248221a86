package org.guavathread.core.placement;

/**
 * Exponential moving average of the time between grants while requests are queued. Estimates the wait of a queued
 * request.
 */
final class GrantIntervalAverage {

    /** Smoothing factor of the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private double millisPerGrant;
    private long lastGrantAtMillis;
    private boolean waitedSinceLastGrant;

    void markWaiting() {
        waitedSinceLastGrant = true;
    }

    void granted(long nowMillis) {
        if (waitedSinceLastGrant) {
            millisPerGrant += SMOOTHING_FACTOR * (nowMillis - lastGrantAtMillis - millisPerGrant);
        }
        lastGrantAtMillis = nowMillis;
        waitedSinceLastGrant = false;
    }

    long estimateWaitMillis(int requestsAhead) {
        return Math.round(requestsAhead * millisPerGrant);
    }
}
