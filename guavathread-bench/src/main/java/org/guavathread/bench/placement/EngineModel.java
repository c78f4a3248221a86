package org.guavathread.bench.placement;

/** Constants of the fake engines. */
final class EngineModel {

    static final int TOKENS_PER_PIECE = 1_000;
    static final int BLOCK_TOKENS = 256;

    /** With 1.8 pieces per request on average, an engine holds about twenty requests. */
    static final int MEMORY_PIECES = 36;

    static final int CACHE_BLOCKS = 200;
    static final long PREFILL_RETENTION_MICROS = 800_000;
    static final long PREFILL_FIXED_MICROS = 5_000;

    /** 1,100 tokens take 42 ms, as much as 38 output tokens of a full decode engine. */
    static final double PREFILL_TOKENS_PER_MICRO = 0.030;

    static final long STEP_FIXED_MICROS = 12_000;
    static final long STEP_MICROS_PER_REQUEST = 500;

    static final int LINK_MEGABYTES_PER_SECOND = 5_000;
    static final int KILOBYTES_PER_TOKEN = 128;

    static final long TARGET_FIRST_TOKEN_MICROS = 310_000;
    static final long TARGET_TOKEN_GAP_MICROS = 26_000;

    static final long REPORT_INTERVAL_MICROS = 250_000;
    static final long REPORT_LAG_MICROS = 100_000;
    static final long EVENT_INTERVAL_MICROS = 500_000;
    static final double EVENT_LOSS_SHARE = 0.05;

    private EngineModel() {}

    static long transferMicros(int tokens) {
        return (long) tokens * KILOBYTES_PER_TOKEN * 1_000 / LINK_MEGABYTES_PER_SECOND;
    }

    static int pieces(int tokens) {
        return Math.max(1, (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE);
    }
}
