package org.guavathread.gateway.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.CallerCost;
import org.guavathread.core.dispatch.CostOrder;
import org.guavathread.core.dispatch.FairAdmissionQueue;
import org.guavathread.core.dispatch.FairAdmissionQueue.Lane;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.HostReport.PriorityLoad;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.gateway.loop.EventLoop;

/**
 * Queues the requests of one service that found no free engine capacity and lets them retry one at a time: when a request
 * of this host ends, and at a fixed interval because requests of other hosts free capacity as well.
 */
final class CapacityQueue {

    /** Retry interval: when all engines are full, some requests end on each engine within this time. */
    private static final long RETRY_INTERVAL_MILLIS = 60;

    private final EventLoop loop;
    private final GatewayContext context;
    private final ServiceName service;
    private final Runnable onChange;
    private final Supplier<WaitingRank> bestElsewhere;
    private final FairAdmissionQueue<StreamCall> queue;
    private final Map<StreamCall, CostOrder.Standing> running = new HashMap<>();
    private EventLoop.Timer timer;
    private StreamCall retrying;
    private Lane retryingLane;
    private boolean inRound;

    /**
     * Creates a queue.
     *
     * @param context components shared by all requests
     * @param service the service
     * @param onChange runs when the capacity that requests use or wait for has changed
     * @param bestElsewhere supplies the rank of the highest-ranked request that waits at another host
     */
    CapacityQueue(GatewayContext context, ServiceName service, Runnable onChange, Supplier<WaitingRank> bestElsewhere) {
        this.loop = context.loop();
        this.context = context;
        this.service = service;
        this.onChange = onChange;
        this.bestElsewhere = bestElsewhere;
        this.queue = new FairAdmissionQueue<>(context.shares());
    }

    /** Enqueues a request; returns false if it would not get capacity in time. */
    boolean enqueue(StreamCall call, FairAdmissionQueue.Attributes place) {
        boolean hasRetried = retrying == call;
        if (hasRetried) {
            retrying = null;
        }
        running.remove(call);
        boolean waits = queue.add(call, place, loop.nowMillis());
        if (waits) {
            scheduleRetry();
            onChange.run();
        }
        if (hasRetried && retryingLane == Lane.CONTINUATION && !inRound) {
            // Engines that cannot serve the stream may have room for a new request.
            retry(List.of(Lane.NEW));
        } else if (hasRetried && retryingLane == Lane.NEW) {
            retryLessUrgentThan(place.standing());
        }
        return waits;
    }

    private void retryLessUrgentThan(CostOrder.Standing failed) {
        failed.priority()
                .flatMap(priority -> queue.firstLessUrgentThan(priority, this::bestElsewhere, loop.nowMillis()))
                .ifPresent(call -> retry(call, Lane.NEW));
    }

    private WaitingRank bestElsewhere(Optional<Priority> priority) {
        return priority.map(level -> context.demand().bestElsewhere(service, level))
                .orElseGet(bestElsewhere);
    }

    /** Returns the rank of the highest-ranked waiting request. */
    WaitingRank bestRank() {
        return queue.bestRank(loop.nowMillis());
    }

    /** Returns whether a new request must queue behind waiting ones. */
    boolean mustQueue(FairAdmissionQueue.Attributes place) {
        return queue.mustQueue(place, context.keptRoom().keptEngines(service) > 0, loop.nowMillis());
    }

    /** Returns the requests that run or wait; none if all requests of the service have the same priority. */
    List<PriorityLoad> priorityLoads() {
        Map<Priority, PriorityLoad> loads = new TreeMap<>();
        running.values()
                .forEach(standing -> standing.priority()
                        .ifPresent(priority -> loads.merge(
                                priority,
                                new PriorityLoad(service, priority, 1, standing.workTokens(), 0, 0, 0),
                                PriorityLoad::plus)));
        queue.costs(loop.nowMillis())
                .forEach((standing, cost) -> standing.priority()
                        .ifPresent(priority -> loads.merge(priority, loadOf(priority, cost), PriorityLoad::plus)));
        return List.copyOf(loads.values());
    }

    private PriorityLoad loadOf(Priority priority, CallerCost cost) {
        boolean isLate = cost.need().rank() == WaitingRank.LATE;
        return new PriorityLoad(
                service,
                priority,
                0,
                0,
                cost.need() == CallerCost.Need.ON_TIME ? 1 : 0,
                cost.need() == CallerCost.Need.ON_TIME_ABOVE_SHARE ? 1 : 0,
                isLate ? 1 : 0);
    }

    int size() {
        return queue.size();
    }

    long drainMillis() {
        return queue.drainMillis();
    }

    /** Removes a request that got capacity and lets the next one try immediately. */
    void capacityAcquired(StreamCall call, FairAdmissionQueue.Attributes place) {
        queue.admitted(call, loop.nowMillis());
        if (running.put(call, place.standing()) == null) {
            queue.countAdmission(place, loop.nowMillis());
        }
        removed(call);
    }

    /** Removes a request that has ended; any capacity it held is free now. */
    void ended(StreamCall call) {
        queue.remove(call);
        running.remove(call);
        removed(call);
    }

    private void removed(StreamCall call) {
        if (retrying == call) {
            retrying = null;
        }
        onChange.run();
        retryNext();
    }

    private void scheduleRetry() {
        if (timer == null) {
            timer = loop.schedule(loop.nowMillis() + RETRY_INTERVAL_MILLIS, () -> {
                timer = null;
                retryNext();
            });
        }
    }

    private void retryNext() {
        if (queue.size() == 0) {
            return;
        }
        scheduleRetry();
        queue.expired(loop.nowMillis()).forEach(StreamCall::waitTimedOut);
        queue.overtaken(loop.nowMillis()).forEach(each -> each.request().overtaken(each.cost(), each.ahead()));
        retry(List.of(Lane.values()));
    }

    /** Lets the first request of the first lane retry that has one, and those of the next lanes if it does not find room. */
    private void retry(List<Lane> lanes) {
        inRound = true;
        for (Lane lane : lanes) {
            if (retrying == null) {
                queue.first(lane, this::bestElsewhere, loop.nowMillis()).ifPresent(call -> retry(call, lane));
            }
        }
        inRound = false;
    }

    private void retry(StreamCall call, Lane lane) {
        retrying = call;
        retryingLane = lane;
        call.retryPlacement();
    }
}
