package org.guavathread.gateway.call;

import java.util.HashMap;
import java.util.Map;

import org.guavathread.gateway.loop.EventLoop;

/**
 * Plain requests of one service that wait for the end of a pause in which all its servers are. No more of them wait than the
 * server that returns first can run at once; the others are better off to come back later.
 */
final class ReturnQueue {

    /** Time over which waiting requests are spread when a server returns. */
    private static final long SPREAD_MILLIS = 100;

    private final GatewayContext context;
    private final Map<PlainCall, EventLoop.Timer> waiting = new HashMap<>();

    ReturnQueue(GatewayContext context) {
        this.context = context;
    }

    /** Lets a request go on after a server has returned; returns false if too many wait already. */
    boolean enqueue(PlainCall call, long returnsAtMillis, int capacity) {
        if (waiting.size() >= capacity) {
            return false;
        }
        long spreadMillis = (long) (context.random().nextDouble() * SPREAD_MILLIS);
        waiting.put(call, context.loop().schedule(returnsAtMillis + spreadMillis, () -> {
            waiting.remove(call);
            call.send();
        }));
        return true;
    }

    /** Removes a request that has ended. */
    void ended(PlainCall call) {
        EventLoop.Timer timer = waiting.remove(call);
        if (timer != null) {
            timer.cancel();
        }
    }
}
