package org.guavathread.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;

/**
 * Records the state of the attempts that a host coordinates. Entries expire after the retention. When a limit is
 * reached, the oldest answers, and then the oldest entries, are evicted: resends are then answered {@code unknown}.
 */
public final class AttemptLog {

    private final ClaimSettings settings;
    private final Map<AttemptId, Entry> entries = new LinkedHashMap<>();
    private final AnswerStore answers;

    private record Entry(AttemptState state, long expiresAtMillis) {}

    /**
     * Builds an empty log.
     *
     * @param settings times and limits
     */
    public AttemptLog(ClaimSettings settings) {
        this.settings = settings;
        this.answers = new AnswerStore(settings.maxAnswerBytes());
    }

    void record(AttemptId attempt, AttemptState state, long nowMillis) {
        evictOldEntries(nowMillis);
        entries.put(attempt, new Entry(state, nowMillis + settings.recordLifetimeMillis()));
    }

    void recordOutcome(ClaimOutcome outcome, long nowMillis) {
        record(outcome.attempt(), AttemptState.ENDED, nowMillis);
        answers.put(outcome.attempt(), outcome);
    }

    /**
     * Answers a query that is addressed to the coordinator of an attempt.
     *
     * @param query the query
     * @return the answer
     */
    public OutcomeReply answer(OutcomeQuery query) {
        Entry entry = entries.get(query.attempt());
        AttemptState state = entry == null ? AttemptState.NOT_KNOWN : entry.state();
        Optional<ClaimOutcome> outcome = answers.get(query.attempt());
        return new OutcomeReply(query.key(), query.attempt(), true, state, outcome);
    }

    private void evictOldEntries(long nowMillis) {
        Iterator<Map.Entry<AttemptId, Entry>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, Entry> entry = oldest.next();
            if (nowMillis < entry.getValue().expiresAtMillis() && entries.size() < settings.maxEntries()) {
                return;
            }
            answers.remove(entry.getKey());
            oldest.remove();
        }
    }
}
