package org.guavathread.core.order;

import java.util.Optional;

import org.guavathread.core.sheet.BackendKind;

/**
 * Decides which role of a pool needs another engine: one whose load has exceeded that of the other role by at least
 * {@link #DIFFERENCE_PERMILLE} for {@link #HYSTERESIS_MILLIS} without interruption.
 */
final class RoleBalance {

    /** A role change loses the work in progress on the engine, so a short peak must not cause one. */
    static final long HYSTERESIS_MILLIS = 30_000;

    /** Difference of the mean loads of the two roles, in thousandths, below which the roles count as balanced. */
    static final int DIFFERENCE_PERMILLE = 250;

    /** After a gap in the reports it is unknown whether the difference persisted, so the measurement restarts. */
    private static final long MAX_GAP_MILLIS = 5_000;

    private BackendKind busierRole;
    private long sinceMillis;
    private long lastMillis = Long.MIN_VALUE / 2;

    /** Records the mean loads and returns the role that needs another engine, if the difference has persisted. */
    Optional<BackendKind> onLoads(int prefillPermille, int decodePermille, long nowMillis) {
        int difference = prefillPermille - decodePermille;
        BackendKind currentBusierRole = Math.abs(difference) < DIFFERENCE_PERMILLE
                ? null
                : difference > 0 ? BackendKind.PREFILL : BackendKind.DECODE;
        if (currentBusierRole != busierRole || nowMillis - lastMillis > MAX_GAP_MILLIS) {
            busierRole = currentBusierRole;
            sinceMillis = nowMillis;
        }
        lastMillis = nowMillis;
        return busierRole != null && nowMillis - sinceMillis >= HYSTERESIS_MILLIS
                ? Optional.of(busierRole)
                : Optional.empty();
    }

    /** Restarts the measurement, so that the effect of a role change is visible before the next one. */
    void onRoleChanged(long nowMillis) {
        sinceMillis = nowMillis;
    }
}
