package org.guavathread.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import org.guavathread.core.dispatch.DrainProgress;
import org.guavathread.core.dispatch.DrainProgress.Step;
import org.guavathread.core.time.Clock;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.caller.CallerServer;
import org.tinylog.Logger;

/** Stops the daemon: whatever it has read or passed on gets its whole answer or a refusal before the process ends. */
final class PlannedStop {

    private static final long POLL_MILLIS = 50;

    /** Time reserved before requests in progress are ended for the answers of those that end at their deadline. */
    private static final long ANSWER_MARGIN_MILLIS = 100;

    /** Maximum lines of the log about requests that are cut. */
    private static final int MAX_CUT_LINES = 100;

    private final GatewayContext context;
    private final Clock clock;
    private final CallerServer callers;
    private final CallerServer peers;
    private final RequestRouter router;

    /**
     * Creates the stop.
     *
     * @param context components shared by all requests
     * @param clock source of the time
     * @param callers the server for callers
     * @param peers the server for other hosts
     * @param router the requests in progress; used on the event loop's thread only
     */
    PlannedStop(GatewayContext context, Clock clock, CallerServer callers, CallerServer peers, RequestRouter router) {
        this.context = context;
        this.clock = clock;
        this.callers = callers;
        this.peers = peers;
        this.router = router;
    }

    /**
     * Stops; returns when all requests have been answered and the answers are written, or the time is up.
     *
     * @param forcedEndMillis time at which the process is killed
     * @param onLeaving runs on the event loop's thread as soon as the stop has begun
     */
    void run(long forcedEndMillis, Runnable onLeaving) {
        long startedAtMillis = clock.nowMillis();
        DrainProgress progress = new DrainProgress(startedAtMillis, forcedEndMillis);
        context.log().entry("stop").with("outcome", "leaving").write();
        runOnLoop(progress.runsEndAtMillis(), () -> {
            context.drain().begin(progress.runsEndAtMillis() - ANSWER_MARGIN_MILLIS);
            onLeaving.run();
        });
        Step step = Step.ADMITTING;
        while (step != Step.ENDED) {
            pause();
            int unfinished = unfinished();
            Step next = progress.step(clock.nowMillis(), unfinished);
            if (next != step) {
                enter(next, progress, unfinished);
            }
            step = next;
        }
        logEnd(clock.nowMillis() - startedAtMillis);
    }

    private void enter(Step step, DrainProgress progress, int unfinished) {
        if (step == Step.ENDED) {
            return;
        }
        context.log()
                .entry("stop")
                .with("outcome", step)
                .with("unfinished", unfinished)
                .write();
        if (step == Step.REFUSING) {
            callers.stopAccepting();
            runOnLoop(progress.runsEndAtMillis(), () -> context.drain().refuseAll());
        } else {
            runOnLoop(progress.endsAtMillis(), router::endUnfinished);
        }
    }

    /** Returns the requests, of callers and of other hosts, to which something is still owed; never waits. */
    private int unfinished() {
        return callers.unfinished().size() + peers.unfinished().size();
    }

    /** Runs a task on the event loop's thread and waits for it. */
    private void runOnLoop(long untilMillis, Runnable task) {
        try {
            CompletableFuture.runAsync(task, context.loop()::complete)
                    .get(Math.max(0, untilMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            Logger.error(e, "A step of the stop failed.");
        } catch (TimeoutException e) {
            Logger.error("The event loop has not carried out a step of the stop in time.");
        }
    }

    private void logEnd(long millis) {
        List<CallerServer.Unfinished> cut = Stream.concat(callers.unfinished().stream(), peers.unfinished().stream())
                .toList();
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
