package org.guavathread.bench.limits;

import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import java.util.function.LongPredicate;

import org.guavathread.core.id.HostId;
import org.guavathread.core.request.RequestKind;

/**
 * Random requests of one workspace: exponentially distributed intervals and log-uniform sizes from tens to thousands of
 * tokens. A shaped load delays each request until it fits into a token bucket with the workspace's rate and a part of
 * its burst, so that every request is within the workspace's limit.
 */
final class Workload {

    private final EventQueue events;
    private final LimitsFleet fleet;
    private final SplittableRandom random;
    private final double rate;
    private final double loadFactor;
    private double shapedBurst;
    private long minTokens = 20;
    private long maxTokens = 4000;
    private boolean mixed;
    private double bucketTokens;
    private double bucketAtMillis;
    private double nextAtMillis;
    private int sent;
    private long offeredTokens;

    Workload(EventQueue events, LimitsFleet fleet, SplittableRandom random, double rate, double loadFactor) {
        this.events = events;
        this.fleet = fleet;
        this.random = random;
        this.rate = rate;
        this.loadFactor = loadFactor;
        this.bucketAtMillis = events.nowMillis();
        this.nextAtMillis = events.nowMillis();
    }

    Workload sizes(long min, long max) {
        minTokens = min;
        maxTokens = max;
        return this;
    }

    /** Shapes the load to a token bucket of this many tokens. */
    Workload shapedTo(double burst) {
        shapedBurst = burst;
        bucketTokens = burst;
        return this;
    }

    /** Adds deferrable requests and requests that use only a part of their charge. */
    Workload mixed() {
        mixed = true;
        return this;
    }

    int sent() {
        return sent;
    }

    long offeredTokens() {
        return offeredTokens;
    }

    /**
     * Sends requests until a time.
     *
     * @param endMillis when to stop
     * @param hostOf chooses the host number for the n-th request
     * @param accepts whether a host takes requests, by its number
     */
    void run(long endMillis, IntUnaryOperator hostOf, LongPredicate accepts) {
        long tokens = Math.round(minTokens * Math.pow((double) maxTokens / minTokens, random.nextDouble()));
        double meanSize = (maxTokens - minTokens) / Math.log((double) maxTokens / minTokens);
        nextAtMillis += -Math.log(1 - random.nextDouble()) * meanSize / (rate * loadFactor) * 1000;
        double at = nextAtMillis;
        if (shapedBurst > 0) {
            at = Math.max(at, bucketAtMillis);
            bucketTokens = Math.min(shapedBurst, bucketTokens + rate * (at - bucketAtMillis) / 1000);
            double wait = Math.max(0, (tokens - bucketTokens) / rate * 1000);
            at += wait;
            bucketTokens += wait * rate / 1000 - tokens;
            bucketAtMillis = at;
        }
        long sendAt = (long) Math.ceil(at);
        if (sendAt > endMillis) {
            return;
        }
        events.at(sendAt, () -> {
            int number = hostOf.applyAsInt(sent);
            if (accepts.test(number)) {
                sent++;
                offeredTokens += tokens;
                send(FleetSheets.host(number), tokens);
            }
            run(endMillis, hostOf, accepts);
        });
    }

    private void send(HostId host, long tokens) {
        boolean deferrable = mixed && random.nextInt(4) == 0;
        long unused = mixed && random.nextInt(3) == 0 ? random.nextLong(tokens + 1) : 0;
        long runMillis = unused == 0 ? 0 : random.nextLong(3000);
        fleet.submit(host, tokens, deferrable ? RequestKind.DEFERRABLE : RequestKind.IDEMPOTENT, unused, runMillis);
    }
}
