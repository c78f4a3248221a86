package org.guavathread.core.key;

import org.guavathread.core.sheet.Sheet;

/**
 * Detects that a host receives no answer from the configuration service or any peer, so that it cannot learn of
 * withdrawn keys. A host that was paused for longer than the limit is isolated when it resumes, until the first answer.
 */
public final class IsolationDetector {

    /** Ten missed heartbeats; accepted sheets are in force everywhere within 10 s, so no older one can be missing. */
    public static final long ISOLATED_AFTER_MILLIS = 10_000;

    private long lastAnswerAtMillis;

    /**
     * Creates a detector that counts its creation as the first answer.
     *
     * @param nowMillis the current time
     */
    public IsolationDetector(long nowMillis) {
        lastAnswerAtMillis = nowMillis;
    }

    /**
     * Records an answer of the configuration service. A long poll that ends without a change counts as an answer,
     * a timeout does not.
     *
     * @param nowMillis the current time
     * @return this detector
     */
    public IsolationDetector onConfigAnswer(long nowMillis) {
        lastAnswerAtMillis = Math.max(lastAnswerAtMillis, nowMillis);
        return this;
    }

    /**
     * Records an answer of a peer, for example to a heartbeat.
     *
     * @param nowMillis the current time
     * @return this detector
     */
    public IsolationDetector onPeerAnswer(long nowMillis) {
        lastAnswerAtMillis = Math.max(lastAnswerAtMillis, nowMillis);
        return this;
    }

    /**
     * Returns whether requests that need a key must be refused with {@code ISOLATED}.
     *
     * @param inForce the sheet in force, which determines whether there are peers
     * @param nowMillis the current time
     * @return true after 10 s without any answer; never in a fleet with a single active host
     */
    public boolean isIsolated(Sheet inForce, long nowMillis) {
        return nowMillis >= isolatedAtMillis(inForce);
    }

    /**
     * Returns when the host becomes isolated if no further answer arrives.
     *
     * @param inForce the sheet in force
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} in a fleet with a single active host
     */
    public long isolatedAtMillis(Sheet inForce) {
        return inForce.activeHosts().size() <= 1 ? Long.MAX_VALUE : lastAnswerAtMillis + ISOLATED_AFTER_MILLIS;
    }
}
