package org.guavathread.cli.demo;

import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What all scenes of the demo share.
 *
 * @param fleet stand-ins and daemons
 * @param caller sends requests
 * @param report prints
 * @param measures counts
 */
record Stage(DemoFleet fleet, DemoCaller caller, DemoReport report, DemoMeasures measures) {

    private static final long POLL_MILLIS = 50;

    /** Time for a state to be reached that does not depend on timers of the design; generous for a busy machine. */
    static final long PATIENT_MILLIS = 10_000;

    DemoCaller.Request lookup(int host, String key) {
        return caller.request(fleet.callers(host), DemoSheet.LOOKUP).key(key).body("{\"lot\":\"fuji-12\"}");
    }

    DemoCaller.Request booking(int host, String idempotencyKey) {
        return caller.request(fleet.callers(host), DemoSheet.BOOKING)
                .key(DemoFleet.ORCHARDS.key())
                .idempotencyKey(idempotencyKey)
                .body("{\"bins\":12}");
    }

    DemoCaller.Request chat(int host, String key, String text, int maxTokens, boolean stream) {
        String body = String.format(
                Locale.ROOT,
                "{\"model\":\"%s\",\"stream\":%b,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                DemoSheet.MODEL,
                stream,
                maxTokens,
                text);
        return caller.request(fleet.callers(host), DemoSheet.CHAT).key(key).body(body);
    }

    /** Gives the text that an engine gets for {@link #chat}. */
    static String promptOf(String text) {
        return "user: " + text + "\n";
    }

    /** Asks the admin port of a host; the answer is a missing node if the host is not there. */
    JsonNode status(int host) {
        return caller.request(fleet.admin(host), "/status").sendAndWait().body();
    }

    /** Makes a UUIDv7, which carries its time of issue, so that restarted voters can vote on it at once. */
    static String newIdempotencyKey() {
        long randomHigh = ThreadLocalRandom.current().nextLong() & 0xfff;
        long randomLow = ThreadLocalRandom.current().nextLong() & 0x3fff_ffff_ffff_ffffL;
        long high = System.currentTimeMillis() << 16 | 0x7000 | randomHigh;
        return new UUID(high, 0x8000_0000_0000_0000L | randomLow).toString();
    }

    /** Polls for a state; false if it is not reached in time. */
    static boolean await(long millis, BooleanSupplier reached) {
        long deadlineNanos = System.nanoTime() + millis * 1_000_000;
        while (!reached.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            pause(POLL_MILLIS);
        }
        return true;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The demo was interrupted.", e);
        }
    }
}
