package org.guavathread.core.claim;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter, so that coordinators that split a vote do not split the next one too. */
final class Backoff {

    private static final int INITIAL_BOUND_MILLIS = 40;
    private static final int MAX_DOUBLINGS = 3;
    /** Leaves time for the releases of the previous round to arrive. */
    private static final int MIN_MILLIS = 5;

    private final RandomGenerator random;
    private int rounds;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    long nextMillis() {
        int bound = INITIAL_BOUND_MILLIS << Math.min(rounds, MAX_DOUBLINGS);
        rounds++;
        return MIN_MILLIS + random.nextInt(bound);
    }
}
