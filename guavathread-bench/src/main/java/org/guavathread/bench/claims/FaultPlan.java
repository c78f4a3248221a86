package org.guavathread.bench.claims;

import java.util.random.RandomGenerator;

/**
 * The faults of a schedule.
 *
 * @param lossShare share of messages that are lost
 * @param duplicateShare share of messages that arrive twice
 * @param slowShare share of messages that are delayed by up to 3 s
 * @param maxSkewMillis largest difference between two clocks, in milliseconds
 * @param kills how often a host is killed; most are restarted with empty memory
 * @param pauses how often a host is paused
 * @param partitions how often the hosts are split in two groups
 * @param epochChanges how often the sheet changes the set of hosts
 * @param backendFaultShare share of dispatched requests whose answer is lost or late
 * @param withdrawShare share of granted requests that are refused for lack of budget
 * @param issueTimeShare share of keys that carry the time at which they were issued
 */
record FaultPlan(
        double lossShare,
        double duplicateShare,
        double slowShare,
        int maxSkewMillis,
        int kills,
        int pauses,
        int partitions,
        int epochChanges,
        double backendFaultShare,
        double withdrawShare,
        double issueTimeShare) {

    static FaultPlan none() {
        return new FaultPlan(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0.5);
    }

    static FaultPlan random(RandomGenerator random) {
        double[] shares = {0, 0.01, 0.05, 0.2};
        return new FaultPlan(
                shares[random.nextInt(4)],
                shares[random.nextInt(4)],
                shares[random.nextInt(4)],
                random.nextInt(1_001),
                random.nextInt(8),
                random.nextInt(6),
                random.nextInt(4),
                random.nextInt(4),
                shares[random.nextInt(4)],
                shares[random.nextInt(4)],
                random.nextDouble());
    }
}
