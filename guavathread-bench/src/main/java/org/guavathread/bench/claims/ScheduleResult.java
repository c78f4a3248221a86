package org.guavathread.bench.claims;

import java.util.List;

/**
 * What was seen in one schedule.
 *
 * @param calls sends that reached a live host
 * @param firstTries first sends of a key within the measured time
 * @param firstTriesAnswered how many of them got an answer of the backend server
 * @param runs how many requests ran
 * @param notRun how many callers were told {@code not_run}
 * @param dispatchMillis for each dispatch the time since the arrival, in milliseconds
 * @param doubleRuns keys that ran more than once
 * @param falseNotRun keys that ran by a send that had reached a host before {@code not_run} was told
 * @param answerFaults sends with no, two or late final answers
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
     * Tells whether every rule held.
     *
     * @return true if no fault was seen
     */
    public boolean isCorrect() {
        return doubleRuns.isEmpty() && falseNotRun.isEmpty() && answerFaults.isEmpty();
    }
}
