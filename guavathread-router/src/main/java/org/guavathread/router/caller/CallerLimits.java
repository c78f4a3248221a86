package org.guavathread.router.caller;

import org.guavathread.core.routing.CallerBounds;

/** Limits on the resources that one caller can use. */
final class CallerLimits {

    /** Upper limit of any configured head size: some keys, a long path and a prompt's list of parts. */
    static final int MAX_HEADER_BYTES = 128 * 1024;

    /** A body must arrive within this time after its head. */
    static final long RECEIVE_DEADLINE_MILLIS = 10_000;

    /** Bounds used unless others are published: 16 KiB of head within 10 s, 1 MiB of body, 60 s idle. */
    static final CallerBounds DEFAULT_BOUNDS = new CallerBounds(16 * 1024, 1024 * 1024, 10_000, 60_000);

    /** A streamed response is aborted when the caller has read nothing for this time. */
    static final long WRITE_STALL_LIMIT_MILLIS = 10_000;

    /** A streamed response buffers at most this much for a slow caller. */
    static final int MAX_PENDING_ANSWER_BYTES = 256 * 1024;

    private CallerLimits() {}
}
