package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.guavathread.core.claim.ClaimKey;

/**
 * A caller with one key. It sometimes sends twice concurrently and retries, usually at another host, after a failure.
 */
final class SimCaller {

    private static final long ANSWER_TIMEOUT_MILLIS = 3_500;
    private static final int MAX_SENDS = 5;

    private final ScheduleSimulator simulator;
    private final SplittableRandom random;
    private final ClaimKey key;
    private final long keyIssuedAtMillis;
    private final List<SimCall> calls = new ArrayList<>();
    private final boolean retries;
    private long firstSentAtMillis;
    private int scheduledSends = 1;

    SimCaller(
            ScheduleSimulator simulator,
            SplittableRandom random,
            ClaimKey key,
            long keyIssuedAtMillis,
            boolean retries) {
        this.simulator = simulator;
        this.random = random;
        this.key = key;
        this.keyIssuedAtMillis = keyIssuedAtMillis;
        this.retries = retries;
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
        if (retries && random.nextInt(10) < 3) {
            scheduleSend(random.nextInt(500));
        }
    }

    private void scheduleSend(long delayMillis) {
        if (retries && scheduledSends < MAX_SENDS) {
            scheduledSends++;
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
        simulator.time().after(ANSWER_TIMEOUT_MILLIS, () -> {
            if (call.end() == null) {
                scheduleSend(0);
            }
        });
    }

    private void ended(SimCall call) {
        switch (call.end()) {
            case ANSWERED -> {
                if (random.nextInt(10) == 0) {
                    scheduleSend(random.nextInt(2_000));
                }
            }
            case NOT_RUN -> scheduleSend(random.nextBoolean() ? random.nextInt(50) : 2_600);
            default -> scheduleSend(random.nextInt(1_000));
        }
    }
}
