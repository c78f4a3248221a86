package org.guavathread.bench.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;

/** A decode engine with memory in pieces, continuous batching and a step time that grows with the batch size. */
final class FakeDecode {

    final BackendServerId id;
    final int dataCentre;
    boolean dead;

    private final EventLoop loop;
    private final Map<Attempt, Integer> memory = new LinkedHashMap<>();
    private final Set<Attempt> batch = new LinkedHashSet<>();
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private int used;
    private boolean stepping;
    private long linkFreeMicros;
    private long stalledUntilMicros;
    private Consumer<Attempt> onToken = a -> {};
    private Consumer<Attempt> onEnd = a -> {};
    private Consumer<Attempt> onLost = a -> {};

    FakeDecode(BackendServerId id, int dataCentre, EventLoop loop) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.loop = loop;
    }

    void setListeners(Consumer<Attempt> token, Consumer<Attempt> end, Consumer<Attempt> lost) {
        onToken = token;
        onEnd = end;
        onLost = lost;
    }

    int free() {
        return EngineModel.MEMORY_PIECES - used;
    }

    int used() {
        return used;
    }

    int running() {
        return memory.size();
    }

    boolean isResponsive() {
        return !dead && loop.nowMicros() >= stalledUntilMicros;
    }

    boolean reserve(Attempt attempt, int pieces) {
        if (dead || pieces > free()) {
            return false;
        }
        memory.put(attempt, pieces);
        used += pieces;
        return true;
    }

    /** Pulls the KV cache; without a reservation the import waits until there is memory. */
    void pull(Attempt attempt) {
        if (dead) {
            onLost.accept(attempt);
        } else if (memory.containsKey(attempt) || reserve(attempt, EngineModel.pieces(attempt.promptTokens))) {
            transfer(attempt);
        } else {
            waiting.add(attempt);
        }
    }

    void release(Attempt attempt) {
        Integer pieces = memory.remove(attempt);
        batch.remove(attempt);
        waiting.remove(attempt);
        if (pieces != null) {
            used -= pieces;
            admitWaiting();
        }
    }

    void crash() {
        dead = true;
        List<Attempt> lost = new ArrayList<>(memory.keySet());
        lost.addAll(waiting);
        memory.clear();
        batch.clear();
        waiting.clear();
        used = 0;
        lost.forEach(onLost);
    }

    void stall(long untilMicros) {
        stalledUntilMicros = untilMicros;
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && EngineModel.pieces(waiting.peek().promptTokens) <= free()) {
            Attempt next = waiting.poll();
            if (next.stage == Attempt.Stage.PREFILLED) {
                reserve(next, EngineModel.pieces(next.promptTokens));
                transfer(next);
            }
        }
    }

    private void transfer(Attempt attempt) {
        if (attempt.stage != Attempt.Stage.PREFILLED) {
            release(attempt);
            return;
        }
        attempt.stage = Attempt.Stage.TRANSFER;
        long start = Math.max(loop.nowMicros(), Math.max(linkFreeMicros, attempt.prefill.linkFreeMicros));
        long end = start + EngineModel.transferMicros(attempt.promptTokens);
        linkFreeMicros = end;
        attempt.prefill.linkFreeMicros = end;
        loop.at(end, () -> join(attempt));
    }

    private void join(Attempt attempt) {
        if (attempt.stage != Attempt.Stage.TRANSFER || dead) {
            return;
        }
        attempt.stage = Attempt.Stage.DECODE;
        batch.add(attempt);
        scheduleStep();
    }

    private void scheduleStep() {
        if (stepping || batch.isEmpty()) {
            return;
        }
        stepping = true;
        List<Attempt> stepBatch = List.copyOf(batch);
        long stepMicros = EngineModel.STEP_FIXED_MICROS + EngineModel.STEP_MICROS_PER_REQUEST * batch.size();
        loop.at(Math.max(loop.nowMicros(), stalledUntilMicros) + stepMicros, () -> step(stepBatch));
    }

    private void step(List<Attempt> stepBatch) {
        stepping = false;
        if (dead) {
            return;
        }
        if (loop.nowMicros() < stalledUntilMicros) {
            scheduleStep();
            return;
        }
        boolean progressed = false;
        for (Attempt attempt : stepBatch) {
            if (!batch.contains(attempt) || !reserveForNextToken(attempt)) {
                continue;
            }
            progressed = true;
            attempt.produced++;
            onToken.accept(attempt);
            if (attempt.produced >= attempt.outputTokens) {
                release(attempt);
                onEnd.accept(attempt);
            }
        }
        if (!progressed && !batch.isEmpty()) {
            List<Attempt> all = List.copyOf(batch);
            Attempt youngest = all.get(all.size() - 1);
            release(youngest);
            onLost.accept(youngest);
        }
        scheduleStep();
    }

    private boolean reserveForNextToken(Attempt attempt) {
        int needed = EngineModel.pieces(attempt.promptTokens + attempt.produced + 1);
        int held = memory.get(attempt);
        if (needed <= held) {
            return true;
        }
        if (free() < needed - held) {
            return false;
        }
        memory.put(attempt, needed);
        used += needed - held;
        return true;
    }
}
