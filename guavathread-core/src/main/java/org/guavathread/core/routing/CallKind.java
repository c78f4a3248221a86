package org.guavathread.core.routing;

/** Execution guarantee and response mode of a route's requests. */
public enum CallKind {
    /** May run more than once; answered by one complete response. */
    IDEMPOTENT(true, false),
    /** Runs at most once; answered by one complete response. */
    NON_IDEMPOTENT(false, false),
    /** Answered by a stream of events; runs at most once unless its route can be resumed. */
    STREAM(false, true);

    private final boolean repeatable;
    private final boolean streamed;

    CallKind(boolean repeatable, boolean streamed) {
        this.repeatable = repeatable;
        this.streamed = streamed;
    }

    /**
     * Tells whether a request that may have run can be sent to another backend server.
     *
     * @param resumable whether the route's streams can be resumed
     * @return true if a second run is allowed
     */
    public boolean mayRunAgain(boolean resumable) {
        return repeatable || streamed && resumable;
    }

    /**
     * Tells whether the answer is streamed to the caller.
     *
     * @return true if the answer is a stream of events
     */
    public boolean isStreamed() {
        return streamed;
    }
}
