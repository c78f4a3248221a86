package org.guavathread.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that works off its queue in order until each request in it is too late. */
class QueueDelayTest {

    private static final long TIME_LIMIT_MILLIS = 600;

    private final QueueDelay delay = new QueueDelay();

    @Test
    void requestsAreAcceptedWhileTheyDoNotWait() {
        for (long now = 0; now < 10_000; now += 10) {
            assertTrue(delay.accepts(now - 5, now - 5 + TIME_LIMIT_MILLIS, now));
        }
    }

    @Test
    void requestsThatAShortStallDelayedAreAccepted() {
        delay.accepts(0, TIME_LIMIT_MILLIS, 0);
        for (long arrived = 0; arrived <= 400; arrived += 10) {
            assertTrue(delay.accepts(arrived, arrived + TIME_LIMIT_MILLIS, 400));
        }
    }

    @Test
    void requestsThatWaitedThroughAPauseAfterAnIdleTimeAreAccepted() {
        delay.accepts(0, TIME_LIMIT_MILLIS, 0);
        delay.accepts(100, 100 + TIME_LIMIT_MILLIS, 200);
        for (long arrived = 9_600; arrived <= 9_900; arrived += 10) {
            assertTrue(delay.accepts(arrived, arrived + TIME_LIMIT_MILLIS, 10_000));
        }
    }

    @Test
    void requestWhoseTimeIsOverIsRefused() {
        assertFalse(delay.accepts(0, TIME_LIMIT_MILLIS, TIME_LIMIT_MILLIS));
    }

    @Test
    void acceptsAgainOnceARequestHasNotWaited() {
        delay.accepts(0, TIME_LIMIT_MILLIS, 0);
        for (long now = 300; now < 2_000; now += 10) {
            delay.accepts(now - 300, now - 300 + TIME_LIMIT_MILLIS, now);
        }
        assertFalse(delay.accepts(1_700, 1_700 + TIME_LIMIT_MILLIS, 2_000));
        assertTrue(delay.accepts(2_000, 2_000 + TIME_LIMIT_MILLIS, 2_001));
        assertTrue(delay.accepts(1_800, 1_800 + TIME_LIMIT_MILLIS, 2_002));
    }

    /** A host that can serve half of what arrives serves about that many in time, also after seconds of overload. */
    @Test
    void hostWithTwiceItsLoadServesWhatItCan() {
        long workMillis = 20;
        long runMillis = 40;
        long refusalMillis = 1;
        int arrivals = 0;
        int served = 0;
        Deque<Long> queue = new ArrayDeque<>();
        long busyUntil = 0;
        for (long now = 0; now < 20_000; now++) {
            if (now % (workMillis / 2) == 0) {
                queue.add(now);
                arrivals++;
            }
            while (busyUntil <= now && !queue.isEmpty()) {
                long arrived = queue.remove();
                boolean accepted = delay.accepts(arrived, arrived + TIME_LIMIT_MILLIS, now);
                busyUntil = now + (accepted ? workMillis : refusalMillis);
                served += accepted && busyUntil + runMillis <= arrived + TIME_LIMIT_MILLIS ? 1 : 0;
            }
        }
        assertEquals(0.5, (double) served / arrivals, 0.06);
    }

    /**
     * All hosts came back to 6 s of backlog, and what arrives takes nine tenths of the host's time: the backlog is refused
     * instead of being answered late one after the other, so that newcomers are on time.
     */
    @Test
    void afterALossOfHostsNewcomersAreOnTime() {
        long workMillis = 18;
        long refusalMillis = 1;
        long targetMillis = 800;
        long timeLimitMillis = 14_000;
        Deque<Long> queue = new ArrayDeque<>();
        for (long arrived = -6_000; arrived < 0; arrived += 20) {
            queue.add(arrived);
        }
        int onTime = 0;
        int arrivals = 0;
        long busyUntil = 0;
        for (long now = 0; now < 12_000; now++) {
            if (now % 20 == 0) {
                queue.add(now);
                arrivals++;
            }
            while (busyUntil <= now && !queue.isEmpty()) {
                long arrived = queue.remove();
                boolean accepted = delay.accepts(arrived, arrived + targetMillis, arrived + timeLimitMillis, now);
                busyUntil = now + (accepted ? workMillis : refusalMillis);
                onTime += accepted && arrived >= 0 && busyUntil <= arrived + targetMillis ? 1 : 0;
            }
        }
        assertTrue(onTime >= 0.8 * arrivals, onTime + " of " + arrivals + " newcomers were on time");
    }
}
