package org.guavathread.core.stream;

import java.util.Optional;

import org.guavathread.core.registry.SoftwareVersion;
import org.junit.jupiter.api.Test;

import static org.guavathread.core.stream.StreamOrigins.Source.FIRST_EVENT;
import static org.guavathread.core.stream.StreamOrigins.Source.RUNNING;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StreamOriginsTest {

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");
    private static final long ATTEMPT = StreamOrigins.keyOf("9c41d07be2a35f68");

    private final StreamOrigins origins = new StreamOrigins();

    @Test
    void originIsForgottenWhenTheCallerStopsWaiting() {
        origins.record(ATTEMPT, OLD, FIRST_EVENT, 1_000, 0);
        assertEquals(Optional.of(OLD), origins.find(ATTEMPT, 999));
        assertEquals(Optional.empty(), origins.find(ATTEMPT, 1_000));
    }

    @Test
    void firstEventCountsMoreThanARunThatWasGivenUp() {
        origins.record(ATTEMPT, OLD, RUNNING, 1_000, 0);
        origins.record(ATTEMPT, NEW, FIRST_EVENT, 1_000, 0);
        origins.record(ATTEMPT, OLD, RUNNING, 1_000, 0);
        assertEquals(Optional.of(NEW), origins.find(ATTEMPT, 0));
    }

    @Test
    void attemptThatRunsAtTwoVersionsHasNoOrigin() {
        origins.record(ATTEMPT, OLD, RUNNING, 1_000, 0);
        origins.record(ATTEMPT, OLD, RUNNING, 1_000, 0);
        assertEquals(Optional.of(OLD), origins.find(ATTEMPT, 0));
        origins.record(ATTEMPT, NEW, RUNNING, 1_000, 0);
        assertEquals(Optional.empty(), origins.find(ATTEMPT, 0));
        origins.record(ATTEMPT, OLD, RUNNING, 1_000, 0);
        assertEquals(Optional.empty(), origins.find(ATTEMPT, 0));
    }

    @Test
    void sizeIsBounded() {
        for (int i = 0; i < 100_000; i++) {
            origins.record(i, OLD, FIRST_EVENT, Long.MAX_VALUE, i);
        }
        assertTrue(origins.size() < 20_000, origins.size() + " streams");
        assertEquals(Optional.of(OLD), origins.find(99_999, 0));
    }

    @Test
    void expiredOriginsMakeRoom() {
        for (int i = 0; i < 100_000; i++) {
            origins.record(i, OLD, FIRST_EVENT, i + 100, i);
        }
        assertTrue(origins.size() <= 101, origins.size() + " streams");
    }
}
