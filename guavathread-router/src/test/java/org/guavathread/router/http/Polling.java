package org.guavathread.router.http;

import java.util.function.BooleanSupplier;

/** Polls for a condition with a long timeout, so that a slow machine does not fail a test. */
public final class Polling {

    private static final long LIMIT_MILLIS = 20_000;

    private Polling() {}

    /** Waits until the condition holds. */
    public static void until(String what, BooleanSupplier state) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + LIMIT_MILLIS;
        while (!state.getAsBoolean()) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new AssertionError("Not reached within " + LIMIT_MILLIS + " ms: " + what);
            }
            Thread.sleep(2);
        }
    }
}
