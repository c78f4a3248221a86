package org.guavathread.bench.limits;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the target of at most 0.1% wrongful refusals against fragmentation of the budget over home hosts. */
class WrongfulRefusalTest {

    @ParameterizedTest
    @CsvSource({
        "ONE_HOST, HALF_BURST", "ALL_HOSTS, HALF_BURST", "MOVING_EACH_SECOND, HALF_BURST",
        "ONE_HOST, NEAR_BURST", "ALL_HOSTS, NEAR_BURST", "MOVING_EACH_SECOND, NEAR_BURST"
    })
    void requestsWithinTheLimitAreRarelyRefused(String loadCase, String shape) {
        double percent =
                (double) LimitsScenario.homeHostsRow(loadCase, shape, 1).get("wrongfulRefusalPercent");
        assertTrue(percent <= 0.1, percent + "% refused");
    }
}
