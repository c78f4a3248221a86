package org.guavathread.core.placement;

/**
 * Exponential moving average of the time between grants while requests are queued. Estimates the wait of a queued
 * request.
 */
final class GrantPace {

    /** Smoothing factor of the moving average. */
    private static final double GAIN = 0.1;

    private double millisPerGrant;
    private long lastGrantAtMillis;
    private boolean waitedSinceLastGrant;

    void requestsWait() {
        waitedSinceLastGrant = true;
    }

    void granted(long nowMillis) {
        if (waitedSinceLastGrant) {
            millisPerGrant += GAIN * (nowMillis - lastGrantAtMillis - millisPerGrant);
        }
        lastGrantAtMillis = nowMillis;
        waitedSinceLastGrant = false;
    }

    long waitMillis(int requestsAhead) {
        return Math.round(requestsAhead * millisPerGrant);
    }
}
