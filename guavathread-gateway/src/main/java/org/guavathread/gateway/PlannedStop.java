package org.guavathread.gateway;

import java.util.List;
import java.util.function.IntSupplier;

import org.guavathread.core.time.Clock;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.caller.CallerServer;

/** Stops the daemon: whatever it has read or passed on gets its whole answer or a refusal before the process ends. */
final class PlannedStop {

    private static final long POLL_MILLIS = 50;

    /** Minimum drain time after SIGTERM. Callers cache entry answers, so new requests keep arriving for this long. */
    private static final long MIN_DRAIN_MILLIS = 2_500;

    /** Time reserved between the end of the drain and the forced end of the process. */
    private static final long END_MARGIN_MILLIS = 900;

    /** Time after the listening socket has closed in which requests that are in transit are refused as not run. */
    private static final long REFUSE_IN_TRANSIT_MILLIS = 200;

    /** Time reserved before requests in progress are ended for the answers of those that end at their deadline. */
    private static final long ANSWER_MARGIN_MILLIS = 100;

    /** Maximum lines of the log about requests that are cut. */
    private static final int MAX_CUT_LINES = 100;

    private final GatewayContext context;
    private final Clock clock;
    private final CallerServer callers;
    private final RequestRouter router;
    private final IntSupplier inProgress;

    /**
     * Creates the stop.
     *
     * @param context components shared by all requests
     * @param clock source of the time
     * @param callers the server for callers
     * @param router the requests in progress; used on the event loop's thread only
     * @param inProgress counts requests in progress; at least 1 if the number is not known
     */
    PlannedStop(
            GatewayContext context, Clock clock, CallerServer callers, RequestRouter router, IntSupplier inProgress) {
        this.context = context;
        this.clock = clock;
        this.callers = callers;
        this.router = router;
        this.inProgress = inProgress;
    }

    /**
     * Stops; returns when all requests have been answered and the answers are written, or the time is up.
     *
     * @param graceMillis time until the process is killed
     * @param onLeaving runs on the event loop's thread as soon as the stop has begun
     */
    void run(long graceMillis, Runnable onLeaving) {
        long startedAtMillis = clock.nowMillis();
        long endAtMillis = startedAtMillis + graceMillis - END_MARGIN_MILLIS;
        context.log().entry("stop").with("outcome", "leaving").write();
        context.loop().execute(() -> {
            context.drain().begin(endAtMillis - ANSWER_MARGIN_MILLIS);
            onLeaving.run();
        });
        awaitIdle(startedAtMillis + MIN_DRAIN_MILLIS, endAtMillis);
        // Requests that are in transit now were accepted by the operating system; they are refused, not cut off.
        callers.stopAccepting();
        context.loop().execute(() -> {
            context.drain().refuseAll();
            router.endUnfinished();
        });
        long transitEndMillis = clock.nowMillis() + REFUSE_IN_TRANSIT_MILLIS;
        awaitIdle(transitEndMillis, Math.max(transitEndMillis, endAtMillis));
        logEnd(clock.nowMillis() - startedAtMillis);
    }

    /** Waits until no request is in progress, but until the first time at least and the second one at most. */
    private void awaitIdle(long fromMillis, long untilMillis) {
        while (clock.nowMillis() < untilMillis) {
            boolean idle = unfinished() == 0;
            if (idle && clock.nowMillis() >= fromMillis) {
                return;
            }
            pause();
        }
    }

    /** Returns the requests that are arriving or in progress. */
    private int unfinished() {
        long arriving = callers.unfinished().stream()
                .filter(each -> each.step() == CallerServer.RequestStep.ARRIVING)
                .count();
        return (int) arriving + inProgress.getAsInt();
    }

    private void logEnd(long millis) {
        List<CallerServer.Unfinished> cut = callers.unfinished();
        cut.stream()
                .limit(MAX_CUT_LINES)
                .forEach(each -> context.log()
                        .entry("cut")
                        .with("caller", each.caller())
                        .with("target", each.target())
                        .with("step", each.step())
                        .with("unwrittenBytes", each.unwrittenBytes())
                        .write());
        context.log()
                .entry("stop")
                .with("outcome", "ended")
                .with("unfinished", cut.size())
                .with("millis", millis)
                .write();
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
