package org.guavathread.gateway.call;

import java.util.function.Supplier;

import org.guavathread.core.dispatch.WaitingLine;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.share.DemandShares;
import org.guavathread.gateway.loop.EventLoop;

/**
 * Queues the requests of one service that found no free engine capacity and lets them retry one at a time: when a request
 * of this host ends, and at a fixed interval because requests of other hosts free capacity as well.
 */
final class RoomQueue {

    /** Retry interval: when all engines are full, some requests end on each engine within this time. */
    private static final long TRY_MILLIS = 60;

    private final EventLoop loop;
    private final Runnable onChange;
    private final Supplier<WaitingRank> elsewhere;
    private final WaitingLine<StreamCall> line;
    private EventLoop.Timer timer;
    private StreamCall trying;

    /**
     * Creates a queue.
     *
     * @param loop the event loop that handles requests
     * @param onChange runs when the capacity that requests use or wait for has changed
     * @param elsewhere supplies the rank of the highest-ranked request that waits at another host
     * @param shares compares the workspaces' usage
     */
    RoomQueue(EventLoop loop, Runnable onChange, Supplier<WaitingRank> elsewhere, DemandShares shares) {
        this.loop = loop;
        this.onChange = onChange;
        this.elsewhere = elsewhere;
        this.line = new WaitingLine<>(shares);
    }

    /** Enqueues a request; returns false if it would not get capacity in time. */
    boolean wait(StreamCall call, WaitingLine.Place place) {
        if (trying == call) {
            trying = null;
        }
        boolean waits = line.add(call, place, loop.nowMillis());
        if (waits) {
            arm();
            onChange.run();
        }
        return waits;
    }

    /** Returns the rank of the highest-ranked waiting request. */
    WaitingRank best() {
        return line.best(loop.nowMillis());
    }

    /** Returns whether a new request must queue behind waiting ones. */
    boolean isBehind(WaitingLine.Place place) {
        return line.isBehind(place, loop.nowMillis());
    }

    int size() {
        return line.size();
    }

    long drainMillis() {
        return line.drainMillis();
    }

    /** Removes a request that got capacity and lets the next one try immediately. */
    void gotRoom(StreamCall call) {
        line.gotRoom(call, loop.nowMillis());
        left(call);
    }

    /** Removes a request that has ended; any capacity it held is free now. */
    void ended(StreamCall call) {
        line.ended(call);
        left(call);
    }

    private void left(StreamCall call) {
        if (trying == call) {
            trying = null;
        }
        onChange.run();
        tryNext();
    }

    private void arm() {
        if (timer == null) {
            timer = loop.at(loop.nowMillis() + TRY_MILLIS, () -> {
                timer = null;
                tryNext();
            });
        }
    }

    private void tryNext() {
        if (line.size() == 0) {
            return;
        }
        arm();
        line.overdue(loop.nowMillis()).forEach(StreamCall::waitedTooLong);
        if (trying == null) {
            line.first(elsewhere.get(), loop.nowMillis()).ifPresent(call -> {
                trying = call;
                call.tryRoom();
            });
        }
    }
}
