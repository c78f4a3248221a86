package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.share.FairShareTracker;

/**
 * Admission queue of one host, for requests that wait for engine memory when a burst exceeds the engines' capacity.
 * The request goes first that costs its caller most to delay ({@link CostOrder}); ties are served in order of arrival. A
 * request that would expire before its turn is rejected, also one that was queued already if more urgent ones have come
 * before it. Each priority is guaranteed a part of what is admitted while its requests wait.
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
     * @param standing its priority, workspace, times and work
     * @param lane where it waits
     */
    public record Attributes(CostOrder.Standing standing, Lane lane) {

        /**
         * Creates the attributes of a request of a service whose requests all have the same priority.
         *
         * @param workspace the workspace that sent the request
         * @param arrivedAtMillis time of its arrival
         * @param onTimeUntilMillis latest time of admission at which it still meets its latency target
         * @param expiresAtMillis time at which it expires, because its caller gives up
         * @param lane where it waits
         */
        public Attributes(
                Optional<WorkspaceId> workspace,
                long arrivedAtMillis,
                long onTimeUntilMillis,
                long expiresAtMillis,
                Lane lane) {
            this(
                    CostOrder.Standing.arrivedAt(arrivedAtMillis)
                            .workspace(workspace)
                            .until(onTimeUntilMillis, expiresAtMillis)
                            .build(),
                    lane);
        }

        private boolean hasPriorityOf(Attributes other) {
            return standing.priority().equals(other.standing.priority());
        }
    }

    /**
     * A waiting request that cannot be admitted in time any more.
     *
     * @param request the request
     * @param ahead the request for which it is refused; empty if it has expired
     * @param cost its cost
     * @param <T> type of the queued requests
     */
    public record Hopeless<T>(T request, Optional<T> ahead, CallerCost cost) {}

    /** Requests that wait for the same engines; the first lane goes first. */
    public enum Lane {
        /** Streams of which the callers have received a part. */
        CONTINUATION,
        /** Requests that have no answer yet. */
        NEW
    }

    /**
     * Part of the expected time until its turn after which a waiting request has to be admitted; the interval between
     * admissions varies by about this factor within a burst.
     */
    private static final double TURN_ESTIMATE_SHARE = 0.5;

    private final Map<T, Attributes> queued = new LinkedHashMap<>();
    private final CostOrder order;
    private final GuaranteedShares guaranteed = new GuaranteedShares();
    private double intervalMillis = INITIAL_INTERVAL_MILLIS;
    private long lastAdmissionMillis;

    /**
     * Creates an empty queue.
     *
     * @param shares recent usage of the workspaces
     */
    public FairAdmissionQueue(FairShareTracker shares) {
        this.order = new CostOrder(shares);
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
            return nowMillis < attributes.standing().expiresAtMillis();
        }
        CallerCost cost = costOf(attributes, nowMillis);
        long ahead = queued.values().stream()
                .filter(other -> other.lane() == attributes.lane())
                .filter(other -> costOf(other, nowMillis).compareTo(cost) <= 0)
                .count();
        if (nowMillis + ahead * intervalMillis >= attributes.standing().expiresAtMillis()) {
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
        Attributes attributes = queued.remove(request);
        if (attributes == null) {
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
     * Counts a request that was admitted, whether it was queued or not.
     *
     * @param attributes its scheduling attributes
     * @param nowMillis the current time
     */
    public void countAdmission(Attributes attributes, long nowMillis) {
        if (attributes.lane() == Lane.NEW) {
            guaranteed.admitted(
                    attributes.standing().level(), attributes.standing().workTokens(), nowMillis);
        }
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
        return first(lane, priority -> elsewhere, nowMillis);
    }

    /**
     * Returns the request of a lane to admit next.
     *
     * @param lane the lane
     * @param elsewhere best rank, by priority, of the new requests that are queued at other hosts
     * @param nowMillis the current time
     * @return the request, or empty if none is queued or another host has a new one of a better rank
     */
    public Optional<T> first(Lane lane, Function<Optional<Priority>, WaitingRank> elsewhere, long nowMillis) {
        Set<Priority> waiting = waitingLevels(lane);
        Optional<Priority> owed = waiting.size() > 1 ? guaranteed.owed(waiting, nowMillis) : Optional.empty();
        return dearest(lane, each -> owed.isEmpty() || each.level().equals(owed.get()), elsewhere, nowMillis);
    }

    /**
     * Returns the request that may be admitted although a more urgent one finds no room: it may be smaller, or room may be
     * kept that only the more urgent one may use.
     *
     * @param failed priority of the request that found no room
     * @param elsewhere best rank, by priority, of the new requests that are queued at other hosts
     * @param nowMillis the current time
     * @return the dearest new request that is less urgent
     */
    public Optional<T> firstLessUrgentThan(
            Priority failed, Function<Optional<Priority>, WaitingRank> elsewhere, long nowMillis) {
        return dearest(Lane.NEW, each -> failed.isMoreUrgentThan(each.level()), elsewhere, nowMillis);
    }

    private Optional<T> dearest(
            Lane lane,
            Predicate<CostOrder.Standing> among,
            Function<Optional<Priority>, WaitingRank> elsewhere,
            long nowMillis) {
        return costed(lane, nowMillis)
                .filter(each -> among.test(each.standing()))
                .min(Comparator.naturalOrder())
                .filter(each -> lane == Lane.CONTINUATION
                        || !each.cost()
                                .need()
                                .rank()
                                .ranksBelow(elsewhere.apply(each.standing().priority())))
                .map(Costed::request);
    }

    /** A queued request with its present cost. */
    private record Costed<T>(T request, CostOrder.Standing standing, CallerCost cost) implements Comparable<Costed<T>> {

        @Override
        public int compareTo(Costed<T> other) {
            int byCost = cost.compareTo(other.cost);
            return byCost != 0 ? byCost : Long.compare(standing.arrivedAtMillis(), other.standing.arrivedAtMillis());
        }
    }

    private Stream<Costed<T>> costed(Lane lane, long nowMillis) {
        return queued.entrySet().stream()
                .filter(e -> e.getValue().lane() == lane)
                .map(e -> new Costed<>(e.getKey(), e.getValue().standing(), costOf(e.getValue(), nowMillis)));
    }

    /**
     * Returns the requests that have expired.
     *
     * @param nowMillis the current time
     * @return requests to refuse now
     */
    public List<T> expired(long nowMillis) {
        return queued.entrySet().stream()
                .filter(e -> nowMillis >= e.getValue().standing().expiresAtMillis())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the requests that will expire before their turn, because more urgent ones have been queued before them.
     *
     * @param nowMillis the current time
     * @return requests to refuse now
     */
    public List<Hopeless<T>> overtaken(long nowMillis) {
        List<Hopeless<T>> hopeless = new ArrayList<>();
        if (waitingLevels(Lane.NEW).size() < 2) {
            return hopeless;
        }
        Optional<Costed<T>> ahead = Optional.empty();
        int position = 0;
        for (Costed<T> each : costed(Lane.NEW, nowMillis).sorted().toList()) {
            double turnMillis = nowMillis + TURN_ESTIMATE_SHARE * position * intervalMillis;
            boolean isOvertaken = ahead.isPresent()
                    && ahead.get()
                            .standing()
                            .level()
                            .isMoreUrgentThan(each.standing().level());
            if (isOvertaken && turnMillis >= each.standing().expiresAtMillis()) {
                hopeless.add(new Hopeless<>(each.request(), ahead.map(Costed::request), each.cost()));
            } else {
                position++;
                ahead = ahead.or(() -> Optional.of(each));
            }
        }
        return hopeless;
    }

    private Set<Priority> waitingLevels(Lane lane) {
        return queued.values().stream()
                .filter(attributes -> attributes.lane() == lane)
                .map(attributes -> attributes.standing().level())
                .collect(Collectors.toSet());
    }

    private CallerCost costOf(Attributes attributes, long nowMillis) {
        return attributes.lane() == Lane.CONTINUATION
                ? new CallerCost(attributes.standing().level(), CallerCost.Need.ON_TIME)
                : order.costOf(attributes.standing(), nowMillis);
    }

    /**
     * Returns what the new requests cost that are queued.
     *
     * @param nowMillis the current time
     * @return their standings, each with its cost
     */
    public Map<CostOrder.Standing, CallerCost> costs(long nowMillis) {
        Map<CostOrder.Standing, CallerCost> costs = new IdentityHashMap<>();
        queued.values().stream()
                .filter(attributes -> attributes.lane() == Lane.NEW)
                .forEach(attributes -> costs.put(attributes.standing(), costOf(attributes, nowMillis)));
        return costs;
    }

    /**
     * Returns the best rank of the new requests that are queued.
     *
     * @param nowMillis the current time
     * @return the rank; {@link WaitingRank#NONE} if the queue is empty
     */
    public WaitingRank bestRank(long nowMillis) {
        return queued.values().stream()
                .filter(attributes -> attributes.lane() == Lane.NEW)
                .map(attributes -> costOf(attributes, nowMillis).need().rank())
                .min(Comparator.naturalOrder())
                .orElse(WaitingRank.NONE);
    }

    /**
     * Tells whether a new request must queue behind others.
     *
     * @param attributes its scheduling attributes
     * @param isRoomKept whether room is kept for more urgent requests, so that those which wait do not hold it up
     * @param nowMillis the current time
     * @return true if a request that goes before it is queued in its lane
     */
    public boolean mustQueue(Attributes attributes, boolean isRoomKept, long nowMillis) {
        CallerCost cost = costOf(attributes, nowMillis);
        return queued.values().stream()
                .filter(other -> other.lane() == attributes.lane())
                .filter(other -> !isRoomKept || other.hasPriorityOf(attributes))
                .anyMatch(other -> costOf(other, nowMillis).compareTo(cost) <= 0);
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
