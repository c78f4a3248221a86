package org.guavathread.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against asking a caller to retry so late that its answer cannot complete before its deadline. */
class AnswerDurationEstimatorTest {

    @Test
    void estimateConvergesToMeasuredDurations() {
        AnswerDurationEstimator estimator = new AnswerDurationEstimator();
        assertEquals(800, estimator.expectedMillis(100));
        for (int i = 0; i < 100; i++) {
            estimator.record(400, 4_800);
        }
        assertEquals(1_200, estimator.expectedMillis(100), 10);
        estimator.record(0, 4_800);
        assertTrue(estimator.expectedMillis(100) > 0);
    }

    @Test
    void aLongAnswerLeavesNoTimeForALateRetry() {
        AnswerDurationEstimator estimator = new AnswerDurationEstimator();
        assertEquals(3_100, estimator.latestRetryMillis(11_000, 2_700, 650));
        assertEquals(0, estimator.latestRetryMillis(7_000, 2_700, 1_000));
    }

    @Test
    void aFewAnswersOutweighTheInitialEstimate() {
        AnswerDurationEstimator estimator = new AnswerDurationEstimator();
        for (int i = 0; i < 4; i++) {
            estimator.record(100, 4_000);
        }
        assertEquals(3_360, estimator.expectedMillis(100));
    }

    @Test
    void requestsThatTookLongerThanExpectedAreRemembered() {
        AnswerDurationEstimator estimator = new AnswerDurationEstimator();
        assertEquals(1_120, estimator.longestRequestMillis(400, 20));
        estimator.recordRequest(400, 20, 2_240);
        assertEquals(2_240, estimator.longestRequestMillis(400, 20));
        for (int i = 0; i < 50; i++) {
            estimator.recordRequest(400, 20, 300);
        }
        assertEquals(1_170, estimator.longestRequestMillis(400, 20), 50);
    }
}
