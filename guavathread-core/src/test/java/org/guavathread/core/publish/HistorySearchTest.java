package org.guavathread.core.publish;

import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HistorySearchTest {

    /** Compaction may have dropped nothing, everything, or any part of the history. */
    @ParameterizedTest
    @CsvSource({"0,0", "1,0", "1,1", "46,19", "46,45", "46,46", "46,0", "100000,99000", "100000,0", "100000,100000"})
    void oldestRevisionIsFoundInFewQuestions(long applied, long compacted) {
        HistorySearch search = new HistorySearch(applied);
        int questions = 0;
        for (OptionalLong next = search.next(); next.isPresent(); next = search.next()) {
            long revision = next.getAsLong();
            assertTrue(revision >= 0 && revision < applied, "asked for revision " + revision);
            questions++;
            if (revision >= compacted) {
                search.available(revision, List.of(StoreItem.deleted("servers/i-1", revision + 1)));
            } else {
                search.gone(revision);
            }
        }
        assertEquals(compacted, search.oldest());
        assertEquals(compacted < applied ? 1 : 0, search.events().size());
        assertTrue(questions <= 36, questions + " questions");
    }
}
