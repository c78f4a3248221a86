package org.guavathread.bench.capacity;

/** The target size of the design and the limits of the control cost of a host (design page, section 1.7). */
final class Target {

    static final int HOSTS = 410;
    static final int REGIONS = 4;
    static final int DATA_CENTRES = 16;
    static final int WORKSPACES = 14_000;
    static final int WORKERS = 1_300;
    static final int REQUESTS_PER_SECOND = 7_300;
    static final int MEMORY_LIMIT_BYTES = 32 * 1024 * 1024;
    static final int BYTES_PER_SECOND_LIMIT = 18 * 1024;
    static final double CORE_SHARE_LIMIT = 0.02;
    static final int ENGINES_PER_CELL = 32;

    /** Concurrently running requests: 7,300 per second for about 6 s each, from 220 output tokens of 26 ms. */
    static final int RUNNING_REQUESTS = 43_800;

    private Target() {}

    static double requestsPerSecondPerHost() {
        return (double) REQUESTS_PER_SECOND / HOSTS;
    }
}
