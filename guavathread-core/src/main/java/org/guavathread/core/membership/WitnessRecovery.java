package org.guavathread.core.membership;

import java.util.HashMap;
import java.util.Map;

import org.guavathread.core.id.HostId;

/**
 * Recovers what a restarted witness must know before it supports a lease: the epochs that its earlier incarnations
 * confirmed.
 *
 * <p>With n witnesses and majorities of m, it asks the others until n - m + 1 of them with intact memory have answered:
 * any majority that included its earlier incarnation has a member among them. If at least m of the witnesses, itself
 * included, have restarted, recovery is impossible; the witness then continues 10 s after its start, when the leases
 * that the earlier incarnations supported have ended. A witness that only cannot reach the others keeps waiting.
 */
final class WitnessRecovery {

    /** Exceeds the duration of a lease, which an earlier incarnation may have supported just before it ended. */
    static final long WAIT_MILLIS = 10_000;

    /**
     * How long a witness that continued without recovery reports its memory as lost. Witnesses that restarted together
     * with it may have done so up to one waiting time later; with a longer time, a witness that restarts afterwards
     * would treat memory that is intact again as lost.
     */
    static final long LOST_REPORTED_MILLIS = 15_000;

    private record Answer(WitnessMemory memory, long atMillis) {}

    /** Older answers may be from an incarnation that has ended since. */
    private static final long ANSWER_VALID_MILLIS = 5_000;

    private final HostId self;
    private final long startedAtMillis;
    private final Map<HostId, Answer> answers = new HashMap<>();
    private WitnessMemory memory = WitnessMemory.EMPTY;
    private long lostAtMillis;

    WitnessRecovery(HostId self, long startedAtMillis) {
        this.self = self;
        this.startedAtMillis = startedAtMillis;
    }

    WitnessMemory memory(long nowMillis) {
        boolean reportedAsLost = nowMillis < lostAtMillis + LOST_REPORTED_MILLIS;
        return memory == WitnessMemory.LOST && !reportedAsLost ? WitnessMemory.COMPLETE : memory;
    }

    boolean isDone() {
        return memory.isComplete();
    }

    void answered(HostId witness, WitnessMemory witnessMemory, long nowMillis) {
        answers.put(witness, new Answer(witnessMemory, nowMillis));
    }

    /** Discards the answers when the set of witnesses changes. */
    void clearAnswers() {
        answers.clear();
    }

    void completeWithoutWitnesses() {
        memory = WitnessMemory.COMPLETE;
    }

    void check(RegionWitnesses witnesses, long nowMillis) {
        int size = witnesses.hosts().size();
        int majority = witnesses.majority();
        int intact = 0;
        int lost = witnesses.hosts().contains(self) ? 1 : 0;
        for (HostId host : witnesses.hosts()) {
            Answer answer = answers.get(host);
            if (host.equals(self) || answer == null || nowMillis - answer.atMillis() > ANSWER_VALID_MILLIS) {
                continue;
            }
            intact += answer.memory().isComplete() ? 1 : 0;
            lost += answer.memory().countsAsLost() ? 1 : 0;
        }
        if (intact >= size - majority + 1) {
            memory = WitnessMemory.COMPLETE;
        } else if (lost >= majority && nowMillis >= startedAtMillis + WAIT_MILLIS) {
            memory = WitnessMemory.LOST;
            lostAtMillis = nowMillis;
        }
    }
}
