package org.guavathread.core.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;

/** A voter's record of one key. */
final class VoterEntry {

    private static final long NONE = 0;

    private final Map<AttemptId, Long> abortedUntilMillis = new HashMap<>(2);
    private AttemptId holder;
    private long holderUntilMillis;
    private long barrierMillis = NONE;
    private long barrierUntilMillis;

    Optional<AttemptId> holder() {
        return Optional.ofNullable(holder);
    }

    boolean isHeldBy(AttemptId attempt) {
        return attempt.equals(holder);
    }

    boolean isAborted(AttemptId attempt) {
        return abortedUntilMillis.containsKey(attempt);
    }

    long barrierMillis() {
        return barrierMillis;
    }

    void grant(AttemptId attempt, long untilMillis) {
        holder = attempt;
        holderUntilMillis = untilMillis;
    }

    void abort(AttemptId attempt, long untilMillis) {
        abortedUntilMillis.put(attempt, untilMillis);
        if (isHeldBy(attempt)) {
            holder = null;
        }
    }

    void raiseBarrier(long atMillis, long untilMillis) {
        barrierMillis = Math.max(barrierMillis, atMillis);
        barrierUntilMillis = Math.max(barrierUntilMillis, untilMillis);
    }

    /** Removes expired state, and returns the holder if its claim has expired. */
    Optional<AttemptId> expire(long nowMillis) {
        abortedUntilMillis.values().removeIf(until -> until <= nowMillis);
        if (barrierUntilMillis <= nowMillis) {
            barrierMillis = NONE;
        }
        if (holder == null || nowMillis < holderUntilMillis) {
            return Optional.empty();
        }
        AttemptId expired = holder;
        holder = null;
        return Optional.of(expired);
    }

    boolean isEmpty() {
        return holder == null && barrierMillis == NONE && abortedUntilMillis.isEmpty();
    }
}
