package org.guavathread.cli.demo;

import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Objects and helpers that all scenarios of the demo share.
 *
 * @param fleet stand-ins and daemons
 * @param caller client that sends the requests
 * @param report output and expectations
 * @param measures service measures of the whole run
 */
record DemoContext(DemoFleet fleet, DemoCaller caller, DemoReport report, DemoMeasures measures) {

    private static final long POLL_MILLIS = 50;

    /** Timeout for states that do not depend on timers of the design; generous for a busy machine. */
    static final long STATE_TIMEOUT_MILLIS = 10_000;

    DemoCaller.Request lookup(int host, String key) {
        return caller.request(fleet.callerAddress(host), DemoSheet.LOOKUP)
                .key(key)
                .body("{\"lot\":\"fuji-12\"}");
    }

    DemoCaller.Request booking(int host, String idempotencyKey) {
        return caller.request(fleet.callerAddress(host), DemoSheet.BOOKING)
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
        return caller.request(fleet.callerAddress(host), DemoSheet.CHAT)
                .key(key)
                .body(body);
    }

    /** Returns the prompt that an engine receives for a text sent by {@link #chat}. */
    static String promptOf(String text) {
        return "user: " + text + "\n";
    }

    /** Fetches the status page from the admin port of a host; a missing node if the host does not answer. */
    JsonNode status(int host) {
        return caller.request(fleet.adminAddress(host), "/status").sendAndWait().body();
    }

    /** Creates a UUIDv7. It contains its time of issue, so restarted claim voters can vote on it at once. */
    static String newIdempotencyKey() {
        long randomHigh = ThreadLocalRandom.current().nextLong() & 0xfff;
        long randomLow = ThreadLocalRandom.current().nextLong() & 0x3fff_ffff_ffff_ffffL;
        long high = System.currentTimeMillis() << 16 | 0x7000 | randomHigh;
        return new UUID(high, 0x8000_0000_0000_0000L | randomLow).toString();
    }

    /** Polls until a condition holds; returns false on timeout. */
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
