package org.guavathread.core.order;

import java.util.Optional;

import org.guavathread.core.sheet.BackendKind;

/** Decides when the engines of one pool are needed in another role: only after a difference that lasts. */
final class RoleBalance {

    /** A change costs the work in progress, so that a peak must not cause one. */
    static final long HYSTERESIS_MILLIS = 30_000;

    /** Difference of the mean loads of the two roles, in thousandths, below which the roles count as balanced. */
    static final int DIFFERENCE_PERMILLE = 250;

    /** After a gap in the reports nobody knows whether the difference lasted. */
    private static final long MAX_GAP_MILLIS = 5_000;

    private BackendKind busier;
    private long sinceMillis;
    private long lastMillis = Long.MIN_VALUE / 2;

    /** Takes the mean loads and gives the role that needs another engine, if the difference has lasted. */
    Optional<BackendKind> onLoads(int prefillPermille, int decodePermille, long nowMillis) {
        int difference = prefillPermille - decodePermille;
        BackendKind now = Math.abs(difference) < DIFFERENCE_PERMILLE
                ? null
                : difference > 0 ? BackendKind.PREFILL : BackendKind.DECODE;
        if (now != busier || nowMillis - lastMillis > MAX_GAP_MILLIS) {
            busier = now;
            sinceMillis = nowMillis;
        }
        lastMillis = nowMillis;
        return busier != null && nowMillis - sinceMillis >= HYSTERESIS_MILLIS ? Optional.of(busier) : Optional.empty();
    }

    /** Starts the time anew, so that the effect of a change shows before the next one. */
    void changed(long nowMillis) {
        sinceMillis = nowMillis;
    }
}
