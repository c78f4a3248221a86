package org.guavathread.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against asking a caller to retry so late that its answer cannot complete before its deadline. */
class AnswerPaceTest {

    @Test
    void estimateConvergesToMeasuredDurations() {
        AnswerPace pace = new AnswerPace();
        assertEquals(800, pace.expectedMillis(100));
        for (int i = 0; i < 100; i++) {
            pace.answered(400, 4_800);
        }
        assertEquals(1_200, pace.expectedMillis(100), 10);
        pace.answered(0, 4_800);
        assertTrue(pace.expectedMillis(100) > 0);
    }

    @Test
    void aLongAnswerLeavesNoTimeForALateRetry() {
        AnswerPace pace = new AnswerPace();
        assertEquals(3_100, pace.latestReturnMillis(11_000, 2_700, 650));
        assertEquals(0, pace.latestReturnMillis(7_000, 2_700, 1_000));
    }
}
