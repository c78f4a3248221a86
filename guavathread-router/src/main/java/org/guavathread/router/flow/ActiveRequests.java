package org.guavathread.router.flow;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.key.KeyedRequests;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.time.Clock;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.metrics.WorkspaceUsage;

/** Requests in progress on this host, each with the action that cancels it. Thread-safe. */
public final class ActiveRequests {

    private record Entry(RequestContext context, Runnable cancel) {}

    private final Map<RequestId, Entry> entries = new ConcurrentHashMap<>();
    private final KeyedRequests keyedRequests;
    private final RouterMetrics metrics;
    private final WorkspaceUsage usage;
    private final RequestTraces traces;
    private final Clock clock;
    private volatile Consumer<RequestId> onEnd = id -> {};

    /**
     * Creates an empty registry.
     *
     * @param keys the API keys of the sheet in force
     * @param metrics counts outcomes
     * @param usage counts admitted and refused requests of each workspace
     * @param clock source of the time
     */
    public ActiveRequests(KeyRing keys, RouterMetrics metrics, WorkspaceUsage usage, Clock clock) {
        this.keyedRequests = new KeyedRequests(keys);
        this.metrics = metrics;
        this.usage = usage;
        this.traces = new RequestTraces(clock);
        this.clock = clock;
    }

    /**
     * Sets the action to run when a request has ended.
     *
     * @param action the action; must not block
     */
    public void onEnd(Consumer<RequestId> action) {
        onEnd = action;
    }

    /**
     * Counts a refusal of a request that was never registered here.
     *
     * @param refusal the refusal
     */
    void countUnroutedRefusal(Refusal refusal) {
        metrics.countRefusal(refusal);
    }

    public RequestTraces traces() {
        return traces;
    }

    /**
     * Gives the number of requests in progress.
     *
     * @return requests that were accepted and have not ended
     */
    public int count() {
        return entries.size();
    }

    /**
     * Applies the API keys of a newer sheet and cancels requests whose key it withdraws.
     *
     * @param keys the API keys
     */
    public void keysChanged(KeyRing keys) {
        synchronized (keyedRequests) {
            keyedRequests.onSheet(keys, clock.nowMillis()).forEach(this::cancelForKey);
        }
    }

    /**
     * Cancels again the requests whose key was withdrawn and that have not ended yet.
     *
     * @param nowMillis the current time
     */
    public void repeatCancellations(long nowMillis) {
        synchronized (keyedRequests) {
            keyedRequests.onWake(nowMillis).forEach(this::cancelForKey);
        }
    }

    /** Cancels all requests; called at the drain deadline. */
    public void cancelAll() {
        entries.values().forEach(e -> {
            e.cancel().run();
            e.context()
                    .refuse(Refusal.notRun(
                            RefusalCode.DRAINING,
                            "This host shuts down before the request could end; use another host."));
        });
    }

    /**
     * Registers a request.
     *
     * @param context the request
     * @param cancel cancels its work; may be called more than once
     * @return false if its API key has been withdrawn since the request was authenticated
     */
    boolean begin(RequestContext context, Runnable cancel) {
        if (context.owner().isPresent()) {
            synchronized (keyedRequests) {
                if (!keyedRequests.register(context.id(), context.owner().get())) {
                    return false;
                }
            }
        }
        entries.put(context.id(), new Entry(context, cancel));
        return true;
    }

    void answered(RequestContext context) {
        end(context, "answered");
    }

    void dropped(RequestContext context) {
        end(context, "dropped");
    }

    void refused(RequestContext context, Refusal refusal) {
        metrics.countRefusal(refusal);
        if (refusal.code().isSystemReason()) {
            metrics.countWrongfulRefusal();
        }
        if (context.isCharged()) {
            usage.refused(context.workspace(), refusal.code() == RefusalCode.RATE_LIMITED);
        }
        end(context, "refused");
    }

    private void end(RequestContext context, String outcome) {
        boolean first = entries.remove(context.id()) != null;
        onEnd.accept(context.id());
        if (first) {
            context.ended();
            metrics.countRequest(context.route(), outcome);
        }
        synchronized (keyedRequests) {
            keyedRequests.remove(context.id());
        }
    }

    private void cancelForKey(KeyedRequests.Cancellation work) {
        Entry entry = entries.get(work.request());
        if (entry == null) {
            keyedRequests.remove(work.request());
            return;
        }
        entry.cancel().run();
        entry.context()
                .refuse(Refusal.notRun(
                        RefusalCode.KEY_UNKNOWN, "The API key was withdrawn while the request ran; use another key."));
    }
}
