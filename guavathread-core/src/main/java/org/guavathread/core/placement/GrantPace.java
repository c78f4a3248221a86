package org.guavathread.core.placement;

/** Learns the time between grants while requests wait, which is what a waiting request has to expect. */
final class GrantPace {

    /** Weight of a new sample. */
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
