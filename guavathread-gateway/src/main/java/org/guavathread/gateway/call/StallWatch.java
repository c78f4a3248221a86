package org.guavathread.gateway.call;

import java.util.function.Consumer;

import org.guavathread.core.stream.StreamProgress;
import org.guavathread.gateway.loop.EventLoop;

/** Ends a run whose events stay away: early if the stream can be resumed elsewhere, otherwise when its caller leaves. */
final class StallWatch {

    /** Delay before another engine is looked for again. */
    private static final long RETRY_MILLIS = 250;

    private final EventLoop loop;
    private final StreamProgress progress;
    private final Consumer<Consumer<Boolean>> engineSearch;
    private EventLoop.Timer timer;

    /**
     * Creates a watch.
     *
     * @param loop source of the time
     * @param progress decides when a run counts as stalled
     * @param engineSearch finds out whether another engine can continue the stream
     */
    StallWatch(EventLoop loop, StreamProgress progress, Consumer<Consumer<Boolean>> engineSearch) {
        this.loop = loop;
        this.progress = progress;
        this.engineSearch = engineSearch;
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
        engineSearch.accept(isFound -> {
            boolean isStillStalled = !run.isFinished() && timer == searchedAt;
            if (isStillStalled && isFound) {
                run.failed("stalled", true);
            } else if (isStillStalled) {
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
