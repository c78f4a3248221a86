package org.guavathread.router.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a failed duty that keeps partially changed state, is never restarted, or restarts endlessly. */
class DutyTest {

    private final AtomicInteger gaveUp = new AtomicInteger();
    private final Supervisor supervisor = new Supervisor("test", System::currentTimeMillis, gaveUp::incrementAndGet);
    private final Duty<List<String>> duty =
            supervisor.add(new Duty<List<String>>("list", ArrayList::new, supervisor, System::currentTimeMillis));

    @AfterEach
    void stop() {
        supervisor.stop();
    }

    @Test
    void failedDutyIsRestartedWithNewState() {
        supervisor.start();
        duty.ask(list -> list.add("kept until the failure")).join();
        CompletableFuture<Object> failing = duty.ask(list -> {
            throw new IllegalStateException("fault");
        });
        assertThrows(CompletionException.class, failing::join);
        assertEquals(0, duty.ask(List::size).join());
        assertEquals(0, gaveUp.get());
    }

    @Test
    void supervisorGivesUpAfterTooManyFailures() throws InterruptedException {
        supervisor.start();
        for (int i = 0; i <= Supervisor.MAX_RESTARTS_PER_MINUTE; i++) {
            duty.offer(list -> {
                throw new IllegalStateException("fault");
            });
        }
        long deadlineMillis = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(10);
        while (gaveUp.get() == 0 && System.currentTimeMillis() < deadlineMillis) {
            Thread.onSpinWait();
        }
        assertEquals(1, gaveUp.get());
    }

    @Test
    void fullInboxRejectsTasksInsteadOfBlocking() throws InterruptedException {
        supervisor.start();
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        duty.offer(list -> {
            running.countDown();
            awaitQuietly(release);
        });
        // The task leaves the inbox only when it begins to run.
        assertTrue(running.await(10, TimeUnit.SECONDS), "the duty does not run");
        int accepted = 0;
        while (accepted <= 2 * Duty.INBOX_CAPACITY && duty.offer(List::size)) {
            accepted++;
        }
        assertTrue(accepted <= 2 * Duty.INBOX_CAPACITY, "the inbox must be bounded");
        CompletableFuture<Integer> refused = duty.ask(List::size);
        release.countDown();
        CompletionException failure = assertThrows(CompletionException.class, refused::join);
        assertInstanceOf(InboxFullException.class, failure.getCause());
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
