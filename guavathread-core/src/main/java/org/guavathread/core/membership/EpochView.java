package org.guavathread.core.membership;

import java.util.List;
import java.util.function.Predicate;

/**
 * Snapshot of what a host knows about epochs and its rights. Decisions get a view with each call and never keep one.
 *
 * @param current the newest epoch that the host knows
 * @param leaseDeadlineMillis until when the host holds the lease of the current epoch, in milliseconds since the epoch
 *     of the clock; a time in the past if it does not hold it
 * @param adoptedAtMillis when the host learned of the current epoch
 * @param settledAtMillis when the current epoch was settled; {@link #NOT_SETTLED} before that
 * @param earlier the superseded epochs that the host remembers, newest first
 */
public record EpochView(
        EpochMembers current,
        long leaseDeadlineMillis,
        long adoptedAtMillis,
        long settledAtMillis,
        List<Superseded> earlier) {

    /** Value of {@code settledAtMillis} for an epoch that is not settled yet. */
    public static final long NOT_SETTLED = Long.MAX_VALUE;

    /** Copies the list. */
    public EpochView {
        earlier = List.copyOf(earlier);
    }

    /**
     * An epoch that was replaced by a newer one.
     *
     * @param members its hosts
     * @param supersededAtMillis when this host learned of the newer epoch
     * @param successorSettledAtMillis when the newer epoch was settled; {@link #NOT_SETTLED} before that
     */
    public record Superseded(EpochMembers members, long supersededAtMillis, long successorSettledAtMillis) {}

    /**
     * Tells whether the host may use those rights of the current epoch that it already had before.
     *
     * @param nowMillis the current time
     * @return true while the lease runs
     */
    public boolean holdsLease(long nowMillis) {
        return nowMillis < leaseDeadlineMillis;
    }

    /**
     * Tells whether the host may use rights that the current epoch gave it and the previous one did not.
     *
     * @param nowMillis the current time
     * @return true once the current epoch is settled
     */
    public boolean isSettled(long nowMillis) {
        return settledAtMillis != NOT_SETTLED && nowMillis >= settledAtMillis;
    }

    /**
     * Tells whether the host may use a right now. Before the current epoch is settled, the host must have had the right
     * in every earlier epoch whose leases may still run, not only in the latest of them.
     *
     * <pre>{@code
     * boolean owner = view.mayUse(members -> members.owners("claim:" + key, 5).contains(self), now);
     * }</pre>
     *
     * @param isHolder tells whether this host has the right in an epoch with the given hosts
     * @param nowMillis the current time
     * @return true if the host holds the lease and nobody else may hold the right
     */
    public boolean mayUse(Predicate<EpochMembers> isHolder, long nowMillis) {
        if (!holdsLease(nowMillis) || !isHolder.test(current)) {
            return false;
        }
        return isSettled(nowMillis)
                || earlier.stream()
                        .filter(epoch -> epoch.successorSettledAtMillis() == NOT_SETTLED)
                        .allMatch(epoch -> isHolder.test(epoch.members()));
    }
}
