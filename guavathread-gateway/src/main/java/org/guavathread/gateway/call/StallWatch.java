package org.guavathread.gateway.call;

import java.util.function.BooleanSupplier;

import org.guavathread.core.stream.StreamProgress;
import org.guavathread.gateway.loop.EventLoop;

/** Ends a run whose events stay away: early if the stream can be resumed elsewhere, otherwise when its caller leaves. */
final class StallWatch {

    private final EventLoop loop;
    private final StreamProgress progress;
    private final BooleanSupplier mayResume;
    private EventLoop.Timer timer;

    StallWatch(EventLoop loop, StreamProgress progress, BooleanSupplier mayResume) {
        this.loop = loop;
        this.progress = progress;
        this.mayResume = mayResume;
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
        timer = loop.schedule(atMillis, () -> {
            if (run.isFinished()) {
                return;
            }
            if (!mayResume.getAsBoolean() && loop.nowMillis() < progress.endsAtMillis()) {
                schedule(progress.endsAtMillis(), run);
            } else {
                run.failed("stalled", true);
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
