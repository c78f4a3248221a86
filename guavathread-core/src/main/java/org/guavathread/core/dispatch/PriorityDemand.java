package org.guavathread.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.gossip.HostReport.PriorityLoad;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;

/**
 * Requests of all hosts that run or wait, by priority, for services whose requests have different priorities. Counts are
 * averages over some seconds, since urgent requests come one at a time and the next one arrives before long. Not thread-safe.
 */
public final class PriorityDemand {

    /** Half-life of the averages: about as long as a language request occupies engine memory. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** Average below which there is no demand: one request for a second in twenty. */
    private static final double MIN_REQUESTS = 0.05;

    /**
     * Requests of one or more priorities.
     *
     * @param requests average number of those that run, and number of those that wait and can still be on time
     * @param tokens tokens of memory that one of them occupies
     */
    public record Demand(double requests, double tokens) {

        /** No requests. */
        public static final Demand NONE = new Demand(0, 0);

        private Demand plus(Demand other) {
            return new Demand(requests + other.requests, Math.max(tokens, other.tokens));
        }
    }

    /** Running requests, and the tokens that they hold together. */
    private record Average(double running, double heldTokens) {

        private static final Average NONE = new Average(0, 0);

        private Average plus(Average other) {
            return new Average(running + other.running, heldTokens + other.heldTokens);
        }

        private Demand with(int waiting) {
            return new Demand(running + waiting, running > 0 ? heldTokens / running : 0);
        }
    }

    private record Level(ServiceName service, Priority priority) {}

    private Map<Level, PriorityLoad> elsewhere = Map.of();
    private final Map<Level, Integer> waiting = new HashMap<>();
    private final Map<Level, Average> averages = new HashMap<>();
    private long updatedAtMillis;

    /**
     * Replaces what is known.
     *
     * @param own load of this host
     * @param others recent reports of the other hosts
     * @param nowMillis the current time
     */
    public void update(List<PriorityLoad> own, List<PriorityLoad> others, long nowMillis) {
        elsewhere = sums(others);
        Map<Level, PriorityLoad> all = new HashMap<>(elsewhere);
        sums(own).forEach((level, load) -> all.merge(level, load, PriorityLoad::plus));
        waiting.clear();
        all.forEach((level, load) -> waiting.put(level, load.onTime() + load.aboveShare()));
        double factor = Math.pow(0.5, Math.max(0, nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
        updatedAtMillis = nowMillis;
        averages.replaceAll((level, average) -> new Average(average.running() * factor, average.heldTokens() * factor));
        all.forEach((level, load) -> averages.merge(level, averageOf(load, 1 - factor), Average::plus));
        averages.entrySet()
                .removeIf(e -> e.getValue().running() < MIN_REQUESTS && waiting.getOrDefault(e.getKey(), 0) == 0);
    }

    private static Map<Level, PriorityLoad> sums(List<PriorityLoad> loads) {
        Map<Level, PriorityLoad> sums = new HashMap<>();
        loads.forEach(load -> sums.merge(new Level(load.service(), load.priority()), load, PriorityLoad::plus));
        return sums;
    }

    private static Average averageOf(PriorityLoad load, double weight) {
        return new Average(weight * load.running(), weight * load.heldTokens());
    }

    /**
     * Returns the demand of the requests that are more urgent than a priority.
     *
     * @param service the service
     * @param priority the priority
     * @return their number and the size of the largest kind
     */
    public Demand moreUrgentThan(ServiceName service, Priority priority) {
        return averages.entrySet().stream()
                .filter(e -> e.getKey().service().equals(service))
                .filter(e -> e.getKey().priority().isMoreUrgentThan(priority))
                .map(e -> e.getValue().with(waiting.getOrDefault(e.getKey(), 0)))
                .reduce(Demand.NONE, Demand::plus);
    }

    /**
     * Returns the demand of the requests of one priority.
     *
     * @param service the service
     * @param priority the priority
     * @return their number and size
     */
    public Demand of(ServiceName service, Priority priority) {
        Level level = new Level(service, priority);
        return averages.getOrDefault(level, Average.NONE).with(waiting.getOrDefault(level, 0));
    }

    /**
     * Returns the best rank of the requests of one priority that wait at other hosts.
     *
     * @param service the service
     * @param priority the priority
     * @return the rank
     */
    public WaitingRank bestElsewhere(ServiceName service, Priority priority) {
        PriorityLoad load = elsewhere.get(new Level(service, priority));
        return load == null ? WaitingRank.NONE : load.best();
    }
}
