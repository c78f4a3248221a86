package org.guavathread.bench.claims;

import java.util.List;

/**
 * Counts and violations of one schedule.
 *
 * @param calls sends that reached a live host
 * @param firstTries first sends of a key within the measured time
 * @param firstTriesAnswered how many of them got the answer of the backend server
 * @param runs how many requests ran
 * @param notRun how many callers were told {@code not_run}
 * @param dispatchMillis time from arrival to dispatch of each dispatched request, in milliseconds
 * @param doubleRuns keys that ran more than once
 * @param falseNotRun keys that were reported {@code not_run} although a send that had already reached a host ran
 * @param answerFaults sends with no, several, wrong or late final answers
 */
public record ScheduleResult(
        int calls,
        int firstTries,
        int firstTriesAnswered,
        int runs,
        int notRun,
        List<Long> dispatchMillis,
        List<String> doubleRuns,
        List<String> falseNotRun,
        List<String> answerFaults) {

    /**
     * Tells whether every guarantee held.
     *
     * @return true if there was no violation
     */
    public boolean isCorrect() {
        return doubleRuns.isEmpty() && falseNotRun.isEmpty() && answerFaults.isEmpty();
    }
}
