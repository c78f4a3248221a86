package org.guavathread.gateway.call;

import java.util.List;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.FairAdmissionQueue;
import org.guavathread.core.dispatch.FairAdmissionQueue.Lane;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.share.FairShareTracker;
import org.guavathread.gateway.loop.EventLoop;

/**
 * Queues the requests of one service that found no free engine capacity and lets them retry one at a time: when a request
 * of this host ends, and at a fixed interval because requests of other hosts free capacity as well.
 */
final class CapacityQueue {

    /** Retry interval: when all engines are full, some requests end on each engine within this time. */
    private static final long RETRY_INTERVAL_MILLIS = 60;

    private final EventLoop loop;
    private final Runnable onChange;
    private final Supplier<WaitingRank> bestElsewhere;
    private final FairAdmissionQueue<StreamCall> queue;
    private EventLoop.Timer timer;
    private StreamCall retrying;
    private Lane retryingLane;
    private boolean inRound;

    /**
     * Creates a queue.
     *
     * @param loop the event loop that handles requests
     * @param onChange runs when the capacity that requests use or wait for has changed
     * @param bestElsewhere supplies the rank of the highest-ranked request that waits at another host
     * @param shares compares the workspaces' usage
     */
    CapacityQueue(EventLoop loop, Runnable onChange, Supplier<WaitingRank> bestElsewhere, FairShareTracker shares) {
        this.loop = loop;
        this.onChange = onChange;
        this.bestElsewhere = bestElsewhere;
        this.queue = new FairAdmissionQueue<>(shares);
    }

    /** Enqueues a request; returns false if it would not get capacity in time. */
    boolean enqueue(StreamCall call, FairAdmissionQueue.Attributes place) {
        boolean hasRetried = retrying == call;
        if (hasRetried) {
            retrying = null;
        }
        boolean waits = queue.add(call, place, loop.nowMillis());
        if (waits) {
            scheduleRetry();
            onChange.run();
        }
        if (hasRetried && retryingLane == Lane.CONTINUATION && !inRound) {
            // Engines that cannot serve the stream may have room for a new request.
            retry(List.of(Lane.NEW));
        }
        return waits;
    }

    /** Returns the rank of the highest-ranked waiting request. */
    WaitingRank bestRank() {
        return queue.bestRank(loop.nowMillis());
    }

    /** Returns whether a new request must queue behind waiting ones. */
    boolean mustQueue(FairAdmissionQueue.Attributes place) {
        return queue.mustQueue(place, loop.nowMillis());
    }

    int size() {
        return queue.size();
    }

    long drainMillis() {
        return queue.drainMillis();
    }

    /** Removes a request that got capacity and lets the next one try immediately. */
    void capacityAcquired(StreamCall call) {
        queue.admitted(call, loop.nowMillis());
        removed(call);
    }

    /** Removes a request that has ended; any capacity it held is free now. */
    void ended(StreamCall call) {
        queue.remove(call);
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
        retry(List.of(Lane.values()));
    }

    /** Lets the first request of the first lane retry that has one, and those of the next lanes if it does not find room. */
    private void retry(List<Lane> lanes) {
        inRound = true;
        for (Lane lane : lanes) {
            if (retrying == null) {
                queue.first(lane, bestElsewhere.get(), loop.nowMillis()).ifPresent(call -> {
                    retrying = call;
                    retryingLane = lane;
                    call.retryPlacement();
                });
            }
        }
        inRound = false;
    }
}
