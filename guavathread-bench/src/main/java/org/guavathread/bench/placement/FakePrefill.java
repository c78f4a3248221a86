package org.guavathread.bench.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.placement.PrefixHash;

/** A prefill engine that computes one prompt at a time, has a prefix cache and keeps results for a short time. */
final class FakePrefill {

    final BackendServerId id;
    final int dataCentre;
    long linkFreeMicros;
    boolean dead;
    long stalledUntilMicros;

    private final EventLoop loop;
    private final PrefillCounter prefillCounter;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private final Map<PrefixHash, Boolean> cache = new LinkedHashMap<>(64, 0.75f, true);
    private final List<PrefixHash> added = new ArrayList<>();
    private final List<PrefixHash> removed = new ArrayList<>();
    private Attempt running;
    private long runningEndMicros;
    private Consumer<Attempt> onDone = a -> {};
    private Consumer<Attempt> onLost = a -> {};

    FakePrefill(BackendServerId id, int dataCentre, EventLoop loop, PrefillCounter prefillCounter) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.loop = loop;
        this.prefillCounter = prefillCounter;
    }

    void setListeners(Consumer<Attempt> done, Consumer<Attempt> lost) {
        onDone = done;
        onLost = lost;
    }

    void submit(Attempt attempt) {
        if (dead) {
            onLost.accept(attempt);
            return;
        }
        attempt.stage = Attempt.Stage.PREFILL;
        queue.add(attempt);
        startNext();
    }

    void cancel(Attempt attempt) {
        queue.remove(attempt);
    }

    int cachedTokens(SimRequest request) {
        int blocks = 0;
        for (PrefixHash prefix : request.prefixes) {
            if (!cache.containsKey(prefix)) {
                break;
            }
            blocks++;
        }
        return blocks * EngineModel.BLOCK_TOKENS;
    }

    long serviceMicros(int uncached) {
        return EngineModel.PREFILL_FIXED_MICROS + Math.round(uncached / EngineModel.PREFILL_TOKENS_PER_MICRO);
    }

    int queueTokens() {
        int tokens = running == null ? 0 : running.promptTokens;
        for (Attempt each : queue) {
            tokens += each.promptTokens;
        }
        return tokens;
    }

    boolean isIdle() {
        return running == null && queue.isEmpty();
    }

    boolean isResponsive() {
        return !dead && loop.nowMicros() >= stalledUntilMicros;
    }

    void crash() {
        dead = true;
        List<Attempt> lost = new ArrayList<>(queue);
        if (running != null) {
            lost.add(running);
        }
        queue.clear();
        running = null;
        cache.clear();
        lost.forEach(onLost);
    }

    void stall(long untilMicros) {
        stalledUntilMicros = untilMicros;
    }

    List<PrefixHash> drainAdded() {
        List<PrefixHash> copy = List.copyOf(added);
        added.clear();
        return copy;
    }

    List<PrefixHash> drainRemoved() {
        List<PrefixHash> copy = List.copyOf(removed);
        removed.clear();
        return copy;
    }

    private void startNext() {
        if (running != null || queue.isEmpty()) {
            return;
        }
        running = queue.poll();
        Attempt attempt = running;
        attempt.cachedTokens = Math.min(cachedTokens(attempt.request), attempt.promptTokens - 1);
        attempt.computedTokens = attempt.promptTokens - attempt.cachedTokens;
        attempt.serviceMicros = serviceMicros(attempt.computedTokens);
        runningEndMicros = Math.max(loop.nowMicros(), stalledUntilMicros) + attempt.serviceMicros;
        loop.at(runningEndMicros, () -> finish(attempt));
    }

    private void finish(Attempt attempt) {
        if (running != attempt) {
            return;
        }
        if (loop.nowMicros() < stalledUntilMicros) {
            loop.at(stalledUntilMicros, () -> finish(attempt));
            return;
        }
        running = null;
        prefillCounter.computed(attempt.computedTokens);
        attempt.request.prefixes.forEach(this::cachePrefix);
        if (attempt.stage == Attempt.Stage.ENDED) {
            prefillCounter.wasted(attempt.computedTokens);
        } else {
            attempt.stage = Attempt.Stage.PREFILLED;
            loop.after(EngineModel.PREFILL_RETENTION_MICROS, () -> expire(attempt));
            onDone.accept(attempt);
        }
        startNext();
    }

    private void expire(Attempt attempt) {
        if (attempt.stage == Attempt.Stage.PREFILLED) {
            onLost.accept(attempt);
        }
    }

    private void cachePrefix(PrefixHash prefix) {
        if (cache.put(prefix, true) == null) {
            added.add(prefix);
        }
        if (cache.size() > EngineModel.CACHE_BLOCKS) {
            PrefixHash eldest = cache.keySet().iterator().next();
            cache.remove(eldest);
            removed.add(eldest);
        }
    }
}
