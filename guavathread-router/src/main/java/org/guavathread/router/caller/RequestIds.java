package org.guavathread.router.caller;

import java.util.concurrent.atomic.AtomicLong;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;

/** Generates request ids that are unique across all hosts and restarts. Thread-safe. */
public final class RequestIds {

    private final String prefix;
    private final AtomicLong next = new AtomicLong(1);

    /**
     * Builds the generator.
     *
     * @param host this host
     * @param incarnation the incarnation of this process
     */
    public RequestIds(HostId host, Incarnation incarnation) {
        prefix = host + "-" + Long.toString(incarnation.startedAtMillis(), Character.MAX_RADIX) + "-";
    }

    /**
     * Generates an id.
     *
     * @return an id that was never returned before
     */
    public RequestId next() {
        return new RequestId(prefix + next.getAndIncrement());
    }
}
