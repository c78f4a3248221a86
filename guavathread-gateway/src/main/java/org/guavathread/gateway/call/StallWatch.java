package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.stream.StreamProgress;
import org.guavathread.gateway.loop.EventLoop;

/** Ends a run whose events stay away: early if the stream can be resumed elsewhere, otherwise when its caller leaves. */
final class StallWatch {

    /** Delay before another engine is looked for again. */
    private static final long RETRY_MILLIS = 250;

    /** Looks for another engine. */
    @FunctionalInterface
    interface EngineSearch {

        /**
         * Looks for an engine at which the stream can go on at once.
         *
         * @param isWanted whether the events still stay away
         * @param onDone receives the engine, at which all is secured then; empty if the stream stays where it is
         */
        void begin(BooleanSupplier isWanted, Consumer<Optional<EnginePlan>> onDone);
    }

    private final EventLoop loop;
    private final StreamProgress progress;
    private final EngineSearch search;
    private EventLoop.Timer timer;

    /**
     * Creates a watch.
     *
     * @param loop source of the time
     * @param progress decides when a run counts as stalled
     * @param search looks for another engine that can continue the stream
     */
    StallWatch(EventLoop loop, StreamProgress progress, EngineSearch search) {
        this.loop = loop;
        this.progress = progress;
        this.search = search;
    }

    /** Starts to watch a run. */
    void requested(EngineRun run, double expectedMillis) {
        schedule(progress.requested(loop.nowMillis(), expectedMillis), run);
    }

    /** Records an event of the watched run. */
    void event(EngineRun run) {
        schedule(progress.event(loop.nowMillis()), run);
    }

    private void schedule(long atMillis, EngineRun run) {
        stop();
        timer = loop.schedule(atMillis, () -> stalled(run));
    }

    private void stalled(EngineRun run) {
        if (run.isFinished()) {
            return;
        }
        if (loop.nowMillis() >= progress.endsAtMillis()) {
            run.failed("stalled", true);
            return;
        }
        EventLoop.Timer searchedAt = timer;
        BooleanSupplier isStillStalled = () -> !run.isFinished() && timer == searchedAt;
        search.begin(isStillStalled, next -> {
            if (next.isPresent()) {
                run.handOver(next.get());
            } else if (isStillStalled.getAsBoolean()) {
                schedule(Math.min(progress.endsAtMillis(), loop.nowMillis() + RETRY_MILLIS), run);
            }
        });
    }

    void stop() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
