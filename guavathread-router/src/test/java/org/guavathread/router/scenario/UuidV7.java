package org.guavathread.router.scenario;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Generates idempotency keys that contain their time of issue. */
final class UuidV7 {

    private UuidV7() {}

    static String next() {
        long high = System.currentTimeMillis() << 16
                | 0x7000L
                | ThreadLocalRandom.current().nextInt(1 << 12);
        long low = 0x8000_0000_0000_0000L | ThreadLocalRandom.current().nextLong() >>> 2;
        return new UUID(high, low).toString();
    }
}
