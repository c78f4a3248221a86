package org.guavathread.bench.placement;

/** Counts computed and wasted prefill tokens. */
final class PrefillCounter {

    private long computedTokens;
    private long wastedTokens;

    void computed(int tokens) {
        computedTokens += tokens;
    }

    void wasted(int tokens) {
        wastedTokens += tokens;
    }

    double wastedShare() {
        return computedTokens == 0 ? 0 : wastedTokens / (double) computedTokens;
    }
}
