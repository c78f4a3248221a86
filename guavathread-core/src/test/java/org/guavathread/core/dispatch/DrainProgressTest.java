package org.guavathread.core.dispatch;

import org.guavathread.core.dispatch.DrainProgress.Step;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DrainProgressTest {

    private static final long GRACE_MILLIS = 8_000;

    private final DrainProgress progress = new DrainProgress(0, GRACE_MILLIS);

    @Test
    void requestsAreAdmittedWhileCallersKeepTheAddress() {
        assertEquals(Step.ADMITTING, progress.step(100, 0));
        assertEquals(Step.ADMITTING, progress.step(2_499, 0));
        assertEquals(Step.REFUSING, progress.step(2_500, 0));
    }

    @Test
    void idleProcessEndsOnceRequestsInTransitHaveBeenRefused() {
        progress.step(2_500, 0);
        assertEquals(Step.REFUSING, progress.step(2_650, 0));
        assertEquals(Step.ENDED, progress.step(2_700, 0));
    }

    @Test
    void requestThatIsAdmittedAsTheProcessSeemsIdleGoesOn() {
        progress.step(2_500, 0);
        assertEquals(Step.REFUSING, progress.step(2_700, 1));
        assertEquals(Step.REFUSING, progress.step(7_099, 1));
        assertEquals(Step.CUTTING, progress.step(7_100, 1));
    }

    @Test
    void requestsGoOnUntilTheirLatestEnd() {
        assertEquals(Step.ADMITTING, progress.step(7_099, 3));
        assertEquals(7_100, progress.runsEndAtMillis());
        assertEquals(Step.REFUSING, progress.step(7_100, 3));
        assertEquals(Step.CUTTING, progress.step(7_101, 3));
    }

    @Test
    void answersAreWrittenForLongerThanRequestsRun() {
        progress.step(7_100, 1);
        progress.step(7_101, 1);
        assertEquals(Step.CUTTING, progress.step(7_699, 1));
        assertEquals(Step.ENDED, progress.step(7_700, 1));
        assertEquals(Step.ENDED, progress.step(9_000, 0));
    }

    @Test
    void processEndsOnceTheLastAnswerIsWritten() {
        progress.step(7_100, 1);
        progress.step(7_101, 1);
        assertEquals(Step.ENDED, progress.step(7_400, 0));
    }
}
