package org.guavathread.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.share.FairShareTracker;

/**
 * Admission queue of one host, for requests that wait for engine memory when a burst exceeds the engines' capacity.
 * Requests that can still meet their latency target go first, since a late answer is worth little to its caller. Among
 * those, requests of workspaces within their fair share go first, so that a burst of a workspace delays only its own
 * requests; ties are served in order of arrival. A request that would expire before its turn is rejected.
 *
 * <p>Streams that go on after an interruption have a lane of their own, in order of arrival, which goes first: their callers
 * lose what they have received otherwise. As only some engines can serve them, the two lanes never wait for each other.
 *
 * @param <T> type of the queued requests
 */
public final class FairAdmissionQueue<T> {

    /** Weight of the latest interval between two admissions in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.3;

    /** Assumed interval between two admissions before the first measurement, in milliseconds. */
    private static final double INITIAL_INTERVAL_MILLIS = 300;

    /**
     * Attributes of a request that decide its order in the queue and its expiry.
     *
     * @param workspace the workspace that sent the request
     * @param arrivedAtMillis time of its arrival
     * @param onTimeUntilMillis latest time of admission at which it still meets its latency target
     * @param expiresAtMillis time at which it expires, because its caller gives up
     * @param lane where it waits
     */
    public record Attributes(
            Optional<WorkspaceId> workspace,
            long arrivedAtMillis,
            long onTimeUntilMillis,
            long expiresAtMillis,
            Lane lane) {}

    /** Requests that wait for the same engines; the first lane goes first. */
    public enum Lane {
        /** Streams of which the callers have received a part. */
        CONTINUATION,
        /** Requests that have no answer yet. */
        NEW
    }

    private final Map<T, Attributes> queued = new LinkedHashMap<>();
    private final FairShareTracker shares;
    private double intervalMillis = INITIAL_INTERVAL_MILLIS;
    private long lastAdmissionMillis;

    /**
     * Creates an empty queue.
     *
     * @param shares recent usage of the workspaces
     */
    public FairAdmissionQueue(FairShareTracker shares) {
        this.shares = shares;
    }

    /**
     * Adds a request, unless it is queued already.
     *
     * @param request the request
     * @param attributes its scheduling attributes; ignored if it is queued already
     * @param nowMillis the current time
     * @return false if it has expired, or would expire before it is admitted; a new request is not added then
     */
    public boolean add(T request, Attributes attributes, long nowMillis) {
        if (queued.containsKey(request)) {
            return nowMillis < attributes.expiresAtMillis();
        }
        WaitingRank rank = rankOf(attributes, nowMillis);
        long ahead = queued.values().stream()
                .filter(other -> other.lane() == attributes.lane())
                .filter(other -> !rankOf(other, nowMillis).ranksBelow(rank))
                .count();
        if (nowMillis + ahead * intervalMillis >= attributes.expiresAtMillis()) {
            return false;
        }
        queued.put(request, attributes);
        return true;
    }

    /**
     * Removes a request that was admitted to an engine, and measures the interval between admissions.
     *
     * @param request the request; ignored if it was never queued
     * @param nowMillis the current time
     */
    public void admitted(T request, long nowMillis) {
        if (queued.remove(request) == null) {
            return;
        }
        if (lastAdmissionMillis > 0) {
            double interval = Math.min(INITIAL_INTERVAL_MILLIS * 4, nowMillis - lastAdmissionMillis);
            intervalMillis += (interval - intervalMillis) * SMOOTHING_FACTOR;
        }
        lastAdmissionMillis = nowMillis;
    }

    /**
     * Removes a request that has ended.
     *
     * @param request the request
     */
    public void remove(T request) {
        queued.remove(request);
    }

    /**
     * Returns the request of a lane to admit next.
     *
     * @param lane the lane
     * @param elsewhere best rank of the new requests that are queued at other hosts
     * @param nowMillis the current time
     * @return the request, or empty if none is queued or another host has a new one of a better rank
     */
    public Optional<T> first(Lane lane, WaitingRank elsewhere, long nowMillis) {
        Comparator<Map.Entry<T, Attributes>> byRank = Comparator.comparing(e -> rankOf(e.getValue(), nowMillis));
        return queued.entrySet().stream()
                .filter(e -> e.getValue().lane() == lane)
                .min(byRank.thenComparingLong(e -> e.getValue().arrivedAtMillis()))
                .filter(e -> lane == Lane.CONTINUATION
                        || !rankOf(e.getValue(), nowMillis).ranksBelow(elsewhere))
                .map(Map.Entry::getKey);
    }

    /**
     * Returns the requests that have expired.
     *
     * @param nowMillis the current time
     * @return requests to refuse now
     */
    public List<T> expired(long nowMillis) {
        return queued.entrySet().stream()
                .filter(e -> nowMillis >= e.getValue().expiresAtMillis())
                .map(Map.Entry::getKey)
                .toList();
    }

    private WaitingRank rankOf(Attributes attributes, long nowMillis) {
        if (attributes.lane() == Lane.CONTINUATION) {
            return WaitingRank.ON_TIME;
        }
        if (nowMillis > attributes.onTimeUntilMillis()) {
            return WaitingRank.LATE;
        }
        return shares.isAboveFairShare(attributes.workspace(), nowMillis)
                ? WaitingRank.ON_TIME_ABOVE_PART
                : WaitingRank.ON_TIME;
    }

    /**
     * Returns the best rank of the new requests that are queued.
     *
     * @param nowMillis the current time
     * @return the rank; {@link WaitingRank#NONE} if the queue is empty
     */
    public WaitingRank bestRank(long nowMillis) {
        return bestRank(Lane.NEW, nowMillis);
    }

    private WaitingRank bestRank(Lane lane, long nowMillis) {
        return queued.values().stream()
                .filter(attributes -> attributes.lane() == lane)
                .map(attributes -> rankOf(attributes, nowMillis))
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Tells whether a new request must queue behind others.
     *
     * @param attributes its scheduling attributes
     * @param nowMillis the current time
     * @return true if a request of the same or a better rank is queued in its lane
     */
    public boolean mustQueue(Attributes attributes, long nowMillis) {
        return !bestRank(attributes.lane(), nowMillis).ranksBelow(rankOf(attributes, nowMillis));
    }

    /**
     * Estimates the time until all queued requests have been admitted.
     *
     * @return milliseconds
     */
    public long drainMillis() {
        return (long) (queued.size() * intervalMillis);
    }

    /**
     * Returns the length of the queue.
     *
     * @return number of queued requests
     */
    public int size() {
        return queued.size();
    }
}
