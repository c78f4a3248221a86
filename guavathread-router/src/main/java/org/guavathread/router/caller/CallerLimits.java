package org.guavathread.router.caller;

import org.guavathread.core.routing.CallerBounds;

/** Bounds on what one caller can make the daemon hold. */
final class CallerLimits {

    /** Greatest head that any bounds can allow: some keys, a long path and a prompt's list of parts. */
    static final int MAX_HEADER_BYTES = 128 * 1024;

    /** A body must arrive within this time after its head. */
    static final long RECEIVE_DEADLINE_MILLIS = 10_000;

    /** Bounds where nothing else is published: 16 KiB of head within 10 s, 1 MiB of body, one idle minute. */
    static final CallerBounds DEFAULT_BOUNDS = new CallerBounds(16 * 1024, 1024 * 1024, 10_000, 60_000);

    /** A streamed answer waits at most this long for a caller that takes nothing. */
    static final long WRITE_STALL_LIMIT_MILLIS = 10_000;

    /** A streamed answer buffers at most this much for a slow caller. */
    static final int MAX_PENDING_ANSWER_BYTES = 256 * 1024;

    private CallerLimits() {}
}
