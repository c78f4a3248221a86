package org.guavathread.core.drain;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a shutdown that aborts requests, refuses new work too early, or never ends. */
class DrainStateTest {

    private final DrainState drain = new DrainState();

    @Test
    void workIsAcceptedUntilTheDrainHasBeenAnnounced() {
        assertTrue(drain.acceptsWork(0));
        drain.begin(true, 60_000, 1_000);
        assertTrue(drain.isDraining() && drain.acceptsWork(6_999));
        assertFalse(drain.acceptsWork(7_000));
        assertEquals(DrainStep.NONE, drain.onTick(3, 6_999));
        assertEquals(DrainStep.REFUSE_NEW_WORK, drain.onTick(3, 7_000));
        assertEquals(DrainStep.NONE, drain.onTick(1, 60_999));
        assertEquals(DrainStep.EXIT, drain.onTick(0, 60_999));
        assertEquals(DrainStep.NONE, drain.onTick(0, 61_000));
    }

    @Test
    void requestsThatExceedTheDeadlineAreCancelled() {
        drain.begin(false, 60_000, 0);
        drain.begin(true, 600_000, 10);
        assertEquals(DrainStep.REFUSE_NEW_WORK, drain.onTick(1, 10));
        assertEquals(DrainStep.CANCEL_RUNNING, drain.onTick(1, 60_000));
        assertEquals(DrainStep.NONE, drain.onTick(1, 61_999));
        assertEquals(DrainStep.EXIT, drain.onTick(1, 62_000));
    }

    @Test
    void aShortDeadlineShortensTheAnnouncement() {
        drain.begin(true, 1_000, 0);
        assertFalse(drain.acceptsWork(1_000));
        assertEquals(DrainStep.REFUSE_NEW_WORK, drain.onTick(1, 1_000));
        assertEquals(DrainStep.CANCEL_RUNNING, drain.onTick(1, 1_000));
    }
}
