package org.guavathread.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;

/**
 * Stores outcomes by attempt. When the total size of the answers exceeds the limit, the bodies of the oldest answers are
 * dropped.
 */
final class AnswerStore {

    private final long maxBytes;
    private final Map<AttemptId, ClaimOutcome> outcomes = new LinkedHashMap<>();
    private final Map<AttemptId, Integer> sizes = new LinkedHashMap<>();
    private long bytes;

    AnswerStore(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    void put(AttemptId attempt, ClaimOutcome outcome) {
        if (outcomes.containsKey(attempt)) {
            return;
        }
        int size = outcome.answer().length;
        if (size > ClaimSettings.MAX_KEPT_ANSWER_BYTES || size > maxBytes) {
            outcomes.put(attempt, outcome.withoutAnswer());
            return;
        }
        outcomes.put(attempt, outcome);
        sizes.put(attempt, size);
        bytes += size;
        Iterator<Map.Entry<AttemptId, Integer>> oldest = sizes.entrySet().iterator();
        while (bytes > maxBytes) {
            Map.Entry<AttemptId, Integer> dropped = oldest.next();
            outcomes.computeIfPresent(dropped.getKey(), (id, kept) -> kept.withoutAnswer());
            bytes -= dropped.getValue();
            oldest.remove();
        }
    }

    Optional<ClaimOutcome> get(AttemptId attempt) {
        return Optional.ofNullable(outcomes.get(attempt));
    }

    void remove(AttemptId attempt) {
        outcomes.remove(attempt);
        Integer size = sizes.remove(attempt);
        bytes -= size == null ? 0 : size;
    }

    long bytes() {
        return bytes;
    }
}
