package org.guavathread.core.share;

import java.util.HashMap;
import java.util.Map;

import org.guavathread.core.routing.ServiceName;

/**
 * Retry budget of each service over all hosts: a ratio of the requests plus a fixed number per window. Each host
 * applies the ratio to its own requests. The fixed number is divided by the number of known hosts, so that the hosts
 * need not exchange their counts.
 */
public final class SharedRetryBudget {

    /** Fraction of the budget in use, since a window can contain the end of one burst and the start of the next. */
    private static final double SAFETY_FACTOR = 0.5;

    /** Minimum capacity of a bucket, in retries: with less, a host of a large fleet could never retry. */
    private static final double MIN_CAPACITY = 1;

    private static final class Bucket {
        private double tokens;
        private long refilledAtMillis;
    }

    private final double ratio;
    private final double extra;
    private final long windowMillis;
    private final Map<ServiceName, Bucket> buckets = new HashMap<>();
    private int hosts = 1;

    /**
     * Creates a budget.
     *
     * @param ratio allowed retries per request
     * @param extra allowed retries per window in addition, over all hosts
     * @param windowMillis length of the window in milliseconds
     */
    public SharedRetryBudget(double ratio, double extra, long windowMillis) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowMillis = windowMillis;
    }

    /**
     * Sets the number of hosts that share the budget.
     *
     * @param count known hosts, whether reachable or not
     */
    public void setHostCount(int count) {
        hosts = Math.max(1, count);
    }

    /**
     * Counts a request that a caller sent.
     *
     * @param service the service that serves its route
     * @param nowMillis the current time
     */
    public void requestArrived(ServiceName service, long nowMillis) {
        Bucket bucket = bucketOf(service, nowMillis);
        bucket.tokens = Math.min(capacity(), bucket.tokens + ratio * SAFETY_FACTOR);
    }

    /**
     * Tells whether a retry is left, without taking it.
     *
     * @param service the service
     * @param nowMillis the current time
     * @return whether a retry would be allowed
     */
    public boolean hasRetry(ServiceName service, long nowMillis) {
        return bucketOf(service, nowMillis).tokens >= 1;
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @param service the service
     * @param nowMillis the current time
     * @return whether the retry is allowed
     */
    public boolean tryRetry(ServiceName service, long nowMillis) {
        Bucket bucket = bucketOf(service, nowMillis);
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }

    private double capacity() {
        return Math.max(MIN_CAPACITY, extra * SAFETY_FACTOR / hosts);
    }

    private Bucket bucketOf(ServiceName service, long nowMillis) {
        Bucket bucket = buckets.get(service);
        if (bucket == null) {
            bucket = new Bucket();
            bucket.tokens = capacity();
            bucket.refilledAtMillis = nowMillis;
            buckets.put(service, bucket);
        }
        // Half of the fixed number is the capacity, the other half the refill per window; no window exceeds their sum.
        double refill = (nowMillis - bucket.refilledAtMillis) * capacity() / windowMillis;
        bucket.tokens = Math.min(capacity(), bucket.tokens + refill);
        bucket.refilledAtMillis = nowMillis;
        return bucket;
    }
}
