package org.guavathread.core.key;

import org.guavathread.core.sheet.Sheet;

/**
 * Detects that a host hears neither the configuration service nor any peer, so that it cannot learn of withdrawn keys.
 * A host that was paused for longer than the limit is isolated on resuming, until the first answer.
 */
public final class IsolationDetector {

    /** Ten missed heartbeats; an accepted sheet is in force everywhere within 10 s, so older news cannot be missing. */
    public static final long ISOLATED_AFTER_MILLIS = 10_000;

    private long lastAnswerAtMillis;

    /**
     * Starts as if an answer had just arrived.
     *
     * @param nowMillis the current time
     */
    public IsolationDetector(long nowMillis) {
        lastAnswerAtMillis = nowMillis;
    }

    /**
     * Notes an answer of the configuration service. A long poll that ended without news counts, a time-out does not.
     *
     * @param nowMillis the current time
     * @return this detector
     */
    public IsolationDetector onConfigAnswer(long nowMillis) {
        lastAnswerAtMillis = Math.max(lastAnswerAtMillis, nowMillis);
        return this;
    }

    /**
     * Notes an answer of a peer, for example to a heartbeat.
     *
     * @param nowMillis the current time
     * @return this detector
     */
    public IsolationDetector onPeerAnswer(long nowMillis) {
        lastAnswerAtMillis = Math.max(lastAnswerAtMillis, nowMillis);
        return this;
    }

    /**
     * Tells whether requests that need a key must be refused with {@code ISOLATED}.
     *
     * @param inForce the sheet in force, which tells whether there are peers at all
     * @param nowMillis the current time
     * @return true after 10 s without any answer; never in a fleet with a single active host
     */
    public boolean isIsolated(Sheet inForce, long nowMillis) {
        return nowMillis >= isolatedAtMillis(inForce);
    }

    /**
     * Tells when the host becomes isolated if no further answer arrives.
     *
     * @param inForce the sheet in force
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} in a fleet with a single active host
     */
    public long isolatedAtMillis(Sheet inForce) {
        return inForce.activeHosts().size() <= 1 ? Long.MAX_VALUE : lastAnswerAtMillis + ISOLATED_AFTER_MILLIS;
    }
}
