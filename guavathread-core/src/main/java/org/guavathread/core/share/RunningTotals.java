package org.guavathread.core.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.guavathread.core.gossip.FleetView;

/** What the processes of other hosts have spent of one workspace's limit, by the latest total of each. */
final class RunningTotals {

    /** Half of the time for which spending is remembered for a host that has no bucket yet: half a limit window. */
    private static final long HALF_WINDOW_MILLIS = 4_000;

    /** How often a host passes a total on; with five receivers each time, news reach nearly all hosts. */
    private static final int MAX_FORWARDS = 3;

    private static final class Total {
        private final int process;
        private long sequence;
        private double units;
        private long atMillis;
        private int forwards;

        private Total(int process) {
            this.process = process;
        }
    }

    /**
     * What a total changes.
     *
     * @param units units spent since the total before
     * @param silentMillis time since that total arrived
     */
    record Change(double units, long silentMillis) {

        static final Change NONE = new Change(0, 0);

        boolean wasAway() {
            return silentMillis > FleetView.REACH_TIMEOUT_MILLIS;
        }
    }

    private final Map<Integer, Total> totals = new HashMap<>();
    private double thisHalf;
    private double lastHalf;
    private long halfBeganMillis;

    /**
     * Applies a total.
     *
     * @param heardAtMillis when the process was heard of before; it had spent nothing then if this is its first total. The
     *     first total of an unknown process may cover a long time and is not debited from the current budget
     */
    Change apply(int process, long sequence, double units, OptionalLong heardAtMillis, long nowMillis) {
        Total total = totals.get(process);
        if (total == null) {
            total = new Total(process);
            total.units = heardAtMillis.isPresent() ? 0 : units;
            total.atMillis = heardAtMillis.orElse(nowMillis);
            totals.put(process, total);
        } else if (sequence <= total.sequence) {
            return Change.NONE;
        }
        Change change = new Change(units - total.units, nowMillis - total.atMillis);
        if (change.units() != 0) {
            total.forwards = 0;
            turnHalves(nowMillis);
            thisHalf += change.units();
        }
        total.sequence = sequence;
        total.units = units;
        total.atMillis = nowMillis;
        return change;
    }

    /** Returns what the processes have spent in the last one or two halves of a window. */
    double recentUnits(long nowMillis) {
        turnHalves(nowMillis);
        return thisHalf + lastHalf;
    }

    /** Returns the time that {@link #recentUnits} covers. */
    long recentMillis(long nowMillis) {
        return HALF_WINDOW_MILLIS + nowMillis - halfBeganMillis;
    }

    private void turnHalves(long nowMillis) {
        if (nowMillis - halfBeganMillis >= HALF_WINDOW_MILLIS) {
            lastHalf = nowMillis - halfBeganMillis < 2 * HALF_WINDOW_MILLIS ? thisHalf : 0;
            thisHalf = 0;
            halfBeganMillis = nowMillis;
        }
    }

    /** Returns totals to pass on, least often passed on first, and counts them. */
    List<SpendingNotice.Total> toForward(int workspace, int limit) {
        List<Total> news = new ArrayList<>(totals.values());
        news.removeIf(t -> t.forwards >= MAX_FORWARDS);
        news.sort(Comparator.comparingInt((Total t) -> t.forwards).thenComparingLong(t -> -t.atMillis));
        List<SpendingNotice.Total> chosen = new ArrayList<>();
        for (Total total : news.subList(0, Math.min(limit, news.size()))) {
            total.forwards++;
            chosen.add(new SpendingNotice.Total(total.process, total.sequence, workspace, Math.round(total.units)));
        }
        return chosen;
    }

    void expire(long nowMillis) {
        totals.values().removeIf(t -> nowMillis - t.atMillis > FleetView.RETENTION_MILLIS);
    }
}
