package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.guavathread.core.claim.ClaimKey;

/**
 * A caller with one key. It sometimes sends twice concurrently and retries, usually at another host, after a failure.
 */
final class SimCaller {

    private static final long PATIENCE_MILLIS = 3_500;
    private static final int MAX_SENDS = 5;

    private final ScheduleSimulator simulator;
    private final SplittableRandom random;
    private final ClaimKey key;
    private final long keyIssuedAtMillis;
    private final List<SimCall> calls = new ArrayList<>();
    private final boolean insistent;
    private long firstSentAtMillis;
    private int planned = 1;

    SimCaller(
            ScheduleSimulator simulator,
            SplittableRandom random,
            ClaimKey key,
            long keyIssuedAtMillis,
            boolean insistent) {
        this.simulator = simulator;
        this.random = random;
        this.key = key;
        this.keyIssuedAtMillis = keyIssuedAtMillis;
        this.insistent = insistent;
    }

    List<SimCall> calls() {
        return calls;
    }

    long firstSentAtMillis() {
        return firstSentAtMillis;
    }

    void start() {
        firstSentAtMillis = simulator.time().nowMillis();
        send();
        if (insistent && random.nextInt(10) < 3) {
            plan(random.nextInt(500));
        }
    }

    private void plan(long delayMillis) {
        if (insistent && planned < MAX_SENDS) {
            planned++;
            simulator.time().after(delayMillis, this::send);
        }
    }

    private void send() {
        if (simulator.time().nowMillis()
                >= firstSentAtMillis + simulator.settings().retentionMillis()) {
            return;
        }
        SimCall call = new SimCall(simulator.time(), key, keyIssuedAtMillis, this::ended);
        calls.add(call);
        simulator.connect(call);
        simulator.time().after(PATIENCE_MILLIS, () -> {
            if (call.end() == null) {
                plan(0);
            }
        });
    }

    private void ended(SimCall call) {
        switch (call.end()) {
            case ANSWERED -> {
                if (random.nextInt(10) == 0) {
                    plan(random.nextInt(2_000));
                }
            }
            case NOT_RUN -> plan(random.nextBoolean() ? random.nextInt(50) : 2_600);
            default -> plan(random.nextInt(1_000));
        }
    }
}
