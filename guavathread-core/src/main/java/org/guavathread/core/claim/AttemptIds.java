package org.guavathread.core.claim;

import java.util.random.RandomGenerator;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;

/**
 * Generates a unique id for each attempt of a host. The sequence starts at a random number, because a restarted duty
 * keeps the incarnation of its process: a reused id would be granted the key that the earlier attempt holds.
 */
public final class AttemptIds {

    private final HostId host;
    private final Incarnation incarnation;
    private long next;

    /**
     * Starts a sequence.
     *
     * @param host this host
     * @param incarnation the incarnation of its process
     * @param random source of the first number
     */
    public AttemptIds(HostId host, Incarnation incarnation, RandomGenerator random) {
        this.host = host;
        this.incarnation = incarnation;
        this.next = random.nextLong() >>> 2;
    }

    /**
     * Returns the next id.
     *
     * @return an id that was not returned before
     */
    public AttemptId next() {
        return new AttemptId(host, incarnation, next++);
    }
}
