package org.guavathread.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.share.DemandShares;

/**
 * Requests of one host that wait for room on an engine, in a burst beyond what the engines' memory holds. Those that can
 * still be on time go before the others, since a late answer is worth little to its caller. Among those, requests of
 * workspaces that use at most an equal part go first, so that a workspace in a burst waits for itself; then the longest
 * waiting request. A request that would wait longer than its caller listens is not taken.
 *
 * @param <T> type of the waiting requests
 */
public final class WaitingLine<T> {

    /** Weight of the latest interval between two departures in their average. */
    private static final double LATEST_WEIGHT = 0.3;

    /** Assumed interval between two departures before any was seen, in milliseconds. */
    private static final double FIRST_INTERVAL_MILLIS = 300;

    /**
     * What decides about a request's place.
     *
     * @param workspace whose request it is
     * @param arrivedAtMillis when it arrived
     * @param onTimeUntilMillis when it must get room to be on time
     * @param giveUpAtMillis when its caller stops listening
     */
    public record Place(
            Optional<WorkspaceId> workspace, long arrivedAtMillis, long onTimeUntilMillis, long giveUpAtMillis) {}

    private final Map<T, Place> waiting = new LinkedHashMap<>();
    private final DemandShares shares;
    private double intervalMillis = FIRST_INTERVAL_MILLIS;
    private long lastDepartureMillis;

    /**
     * Builds a line.
     *
     * @param shares compares the workspaces' use
     */
    public WaitingLine(DemandShares shares) {
        this.shares = shares;
    }

    /**
     * Adds a request, or keeps its place.
     *
     * @param request the request
     * @param place what decides about its place
     * @param nowMillis the current time
     * @return false if it would not get room before it is given up; it is not added then
     */
    public boolean add(T request, Place place, long nowMillis) {
        if (waiting.containsKey(request)) {
            return nowMillis < place.giveUpAtMillis();
        }
        WaitingRank rank = rankOf(place, nowMillis);
        long ahead = waiting.values().stream()
                .filter(other -> !rankOf(other, nowMillis).yieldsTo(rank))
                .count();
        if (nowMillis + ahead * intervalMillis >= place.giveUpAtMillis()) {
            return false;
        }
        waiting.put(request, place);
        return true;
    }

    /**
     * Removes a request that got room.
     *
     * @param request the request; one that did not have to wait is ignored
     * @param nowMillis the current time
     */
    public void gotRoom(T request, long nowMillis) {
        if (waiting.remove(request) == null) {
            return;
        }
        if (lastDepartureMillis > 0) {
            double interval = Math.min(FIRST_INTERVAL_MILLIS * 4, nowMillis - lastDepartureMillis);
            intervalMillis += (interval - intervalMillis) * LATEST_WEIGHT;
        }
        lastDepartureMillis = nowMillis;
    }

    /**
     * Removes a request that is over.
     *
     * @param request the request
     */
    public void ended(T request) {
        waiting.remove(request);
    }

    /**
     * Gives the request that gets the next room.
     *
     * @param elsewhere rank of the best request that waits at another host
     * @param nowMillis the current time
     * @return the request, or empty if none waits or the room is left to the other host
     */
    public Optional<T> first(WaitingRank elsewhere, long nowMillis) {
        Comparator<Map.Entry<T, Place>> byRank = Comparator.comparing(e -> rankOf(e.getValue(), nowMillis));
        return waiting.entrySet().stream()
                .min(byRank.thenComparingLong(e -> e.getValue().arrivedAtMillis()))
                .filter(e -> !rankOf(e.getValue(), nowMillis).yieldsTo(elsewhere))
                .map(Map.Entry::getKey);
    }

    /**
     * Gives the requests whose callers stop listening.
     *
     * @param nowMillis the current time
     * @return requests that are to be refused now
     */
    public List<T> overdue(long nowMillis) {
        return waiting.entrySet().stream()
                .filter(e -> nowMillis >= e.getValue().giveUpAtMillis())
                .map(Map.Entry::getKey)
                .toList();
    }

    private WaitingRank rankOf(Place place, long nowMillis) {
        if (nowMillis > place.onTimeUntilMillis()) {
            return WaitingRank.LATE;
        }
        return shares.isAboveEqualPart(place.workspace(), nowMillis)
                ? WaitingRank.ON_TIME_ABOVE_PART
                : WaitingRank.ON_TIME;
    }

    /**
     * Gives the rank of the best waiting request.
     *
     * @param nowMillis the current time
     * @return the rank
     */
    public WaitingRank best(long nowMillis) {
        return waiting.values().stream()
                .map(place -> rankOf(place, nowMillis))
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Tells whether a new request is to wait for others.
     *
     * @param place what decides about its place
     * @param nowMillis the current time
     * @return true if a request of the same or a better rank waits already
     */
    public boolean isBehind(Place place, long nowMillis) {
        return !best(nowMillis).yieldsTo(rankOf(place, nowMillis));
    }

    /**
     * Estimates when the line will have moved on.
     *
     * @return milliseconds
     */
    public long drainMillis() {
        return (long) (waiting.size() * intervalMillis);
    }

    /**
     * Counts the waiting requests.
     *
     * @return their number
     */
    public int size() {
        return waiting.size();
    }
}
