package org.guavathread.router.caller;

/** Bounds on what one caller can make the daemon hold. */
final class CallerLimits {

    static final int MAX_HEADER_BYTES = 16 * 1024;
    static final int MAX_BODY_BYTES = 1024 * 1024;
    static final long RECEIVE_DEADLINE_MILLIS = 10_000;
    static final int KEEP_ALIVE_IDLE_SECONDS = 60;

    /** A streamed answer waits at most this long for a caller that takes nothing. */
    static final long WRITE_STALL_LIMIT_MILLIS = 10_000;

    /** A streamed answer buffers at most this much for a slow caller. */
    static final int MAX_PENDING_ANSWER_BYTES = 256 * 1024;

    private CallerLimits() {}
}
