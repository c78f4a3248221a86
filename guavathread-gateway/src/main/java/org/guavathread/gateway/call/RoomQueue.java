package org.guavathread.gateway.call;

import java.util.function.Supplier;

import org.guavathread.core.dispatch.WaitingLine;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.share.DemandShares;
import org.guavathread.gateway.loop.EventLoop;

/**
 * Lets the requests of one service that found no room try again, one at a time: when a request of this host ends, and at
 * regular times for the room that other hosts' requests leave.
 */
final class RoomQueue {

    /** Time between two tries: some requests end on each engine within it when all are full. */
    private static final long TRY_MILLIS = 60;

    private final EventLoop loop;
    private final Runnable onChange;
    private final Supplier<WaitingRank> elsewhere;
    private final WaitingLine<StreamCall> line;
    private EventLoop.Timer timer;
    private StreamCall trying;

    /**
     * Builds a queue.
     *
     * @param loop the thread on which requests are decided
     * @param onChange runs when the room that requests use or wait for changed
     * @param elsewhere gives the rank of the best request that waits at another host
     * @param shares compares the workspaces' use
     */
    RoomQueue(EventLoop loop, Runnable onChange, Supplier<WaitingRank> elsewhere, DemandShares shares) {
        this.loop = loop;
        this.onChange = onChange;
        this.elsewhere = elsewhere;
        this.line = new WaitingLine<>(shares);
    }

    /** Lets a request wait; false if it would wait in vain. */
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

    /** Gives the rank of the best waiting request. */
    WaitingRank best() {
        return line.best(loop.nowMillis());
    }

    /** Tells whether a new request is to wait for others. */
    boolean isBehind(WaitingLine.Place place) {
        return line.isBehind(place, loop.nowMillis());
    }

    int size() {
        return line.size();
    }

    long drainMillis() {
        return line.drainMillis();
    }

    /** Notes that a request got room; the next one tries at once. */
    void gotRoom(StreamCall call) {
        line.gotRoom(call, loop.nowMillis());
        left(call);
    }

    /** Notes that a request is over. If it had room, that is free now. */
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
