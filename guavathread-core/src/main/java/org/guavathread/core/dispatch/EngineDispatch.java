package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;

/**
 * Chooses the engines of a language request by the expected time until its first token. The prompt is read either by a
 * prefill engine, whose result is then transferred, or by the generating engine itself at half the speed between the
 * tokens of others. Under low load the second way is as good and saves the transfer; in a burst both ways share the load.
 */
public final class EngineDispatch {

    /** Reading speed of prefill engines, in tokens per millisecond; from the operators' data sheet of the engines. */
    private static final double PREFILL_TOKENS_PER_MILLI = 33;

    /**
     * Reading speed of generating engines: half, by the engines' protocol description, less the tokens that are generated
     * between the chunks of the prompt.
     */
    private static final double DECODE_TOKENS_PER_MILLI = PREFILL_TOKENS_PER_MILLI / 3;

    /** Part of the route's target within which the generating engine reads the prompt itself, to save the transfer. */
    private static final double DIRECT_SHARE_OF_TARGET = 0.45;

    /**
     * Filled part of an engine's memory up to which it reads prompts itself although a prefill engine could: reading
     * slows all requests that generate there.
     */
    private static final double DIRECT_FILL = 0.25;

    /** Filled part of an engine's memory above which it is not asked for room; reports of other hosts lag a little. */
    private static final double FULL_FILL = 1.15;

    /** Round trips and transfer of a result to the generating engine, in milliseconds. */
    private static final double TRANSFER_MILLIS = 25;

    /** Time that each prompt token read on a generating engine delays each request that generates there. */
    private static final double DELAY_OF_OTHERS = 0.5;

    /** Cost of an engine that always fails: a client gives up on a stream that stalls for about this long. */
    private static final double FAILURE_MILLIS = 2_000;

    /** Expected times that differ by less are equal: reports of other hosts are a few hundred milliseconds old. */
    private static final double NOISE_MILLIS = 30;

    /** Cost of a full memory: the batch is large then, and each token takes longer. */
    private static final double FILL_MILLIS = 200;

    /** Cost of twice the memory that an engine has: the request waits for the end of others. */
    private static final double OVERCOMMIT_MILLIS = 2_400;

    private final ServerLoads loads;
    private final ServerHealth health;
    private final RandomGenerator random;

    /**
     * Builds the choice.
     *
     * @param loads work in progress
     * @param health outcome of earlier requests
     * @param random source of random numbers
     */
    public EngineDispatch(ServerLoads loads, ServerHealth health, RandomGenerator random) {
        this.loads = loads;
        this.health = health;
        this.random = random;
    }

    /**
     * Chooses engines.
     *
     * @param servers the engines of the service that may get work
     * @param tried generating engines that the request has been sent to
     * @param work size of the request
     * @param memoryTokens tokens that the memory of one engine holds
     * @param targetMillis time within which the first token is on time, in milliseconds
     * @param nowMillis the current time
     * @return the plan, or empty if no untried engine generates and has room by the latest reports
     */
    public Optional<EnginePlan> choose(
            Collection<Worker> servers,
            Set<BackendServerId> tried,
            EngineWork work,
            int memoryTokens,
            long targetMillis,
            long nowMillis) {
        List<Worker> generating = servers.stream()
                .filter(w -> w.stage().generates() && !tried.contains(w.id()))
                .toList();
        List<Worker> candidates = health.preferred(generating, nowMillis).stream()
                .filter(w -> fillAfter(w, work, memoryTokens) <= FULL_FILL)
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Choice reading = least(candidates, w -> readingMillis(w, work, memoryTokens));
        EnginePlan direct = new EnginePlan(Optional.empty(), reading.worker(), reading.millis());
        boolean idle = fillAfter(direct.decode(), work, memoryTokens) <= DIRECT_FILL;
        if (idle && direct.expectedMillis() <= DIRECT_SHARE_OF_TARGET * targetMillis) {
            return Optional.of(direct);
        }
        Optional<EnginePlan> split = splitPlan(servers, candidates, work, memoryTokens, nowMillis);
        double directCost = direct.expectedMillis() + work.promptTokens() / DECODE_TOKENS_PER_MILLI;
        return split.filter(plan -> plan.expectedMillis() < directCost).or(() -> Optional.of(direct));
    }

    private Optional<EnginePlan> splitPlan(
            Collection<Worker> servers, List<Worker> generating, EngineWork work, int memoryTokens, long nowMillis) {
        List<Worker> reading = servers.stream()
                .filter(w -> w.stage().readsForOthers() && !health.isAvoided(w.id(), nowMillis))
                .toList();
        if (reading.isEmpty() || work.isResumed()) {
            return Optional.empty();
        }
        Choice prefill = least(
                reading,
                w -> (loads.promptTokens(w.id()) + work.promptTokens()) / PREFILL_TOKENS_PER_MILLI
                        + FAILURE_MILLIS * health.failureRate(w.id()));
        Choice decode = least(generating, w -> generatingMillis(w, work, memoryTokens));
        double expected = prefill.millis() + TRANSFER_MILLIS + decode.millis();
        return Optional.of(new EnginePlan(Optional.of(prefill.worker()), decode.worker(), expected));
    }

    private double readingMillis(Worker worker, EngineWork work, int memoryTokens) {
        double delayed = DELAY_OF_OTHERS * work.promptTokens() / DECODE_TOKENS_PER_MILLI;
        return (loads.promptTokens(worker.id()) + work.promptTokens()) / DECODE_TOKENS_PER_MILLI
                + delayed * Math.min(1, loads.heldTokens(worker.id()) / (double) memoryTokens)
                + generatingMillis(worker, work, memoryTokens);
    }

    private double fillAfter(Worker worker, EngineWork work, int memoryTokens) {
        return (loads.heldTokens(worker.id()) + work.occupiedTokens()) / (double) memoryTokens;
    }

    private double generatingMillis(Worker worker, EngineWork work, int memoryTokens) {
        double fill = fillAfter(worker, work, memoryTokens);
        return OVERCOMMIT_MILLIS * Math.max(0, fill - 1)
                + FILL_MILLIS * fill
                + FAILURE_MILLIS * health.failureRate(worker.id());
    }

    private record Choice(Worker worker, double millis) {}

    private Choice least(List<Worker> workers, ToDoubleFunction<Worker> millis) {
        return workers.stream()
                .map(w -> new Choice(w, millis.applyAsDouble(w) + random.nextDouble() * NOISE_MILLIS))
                .min(Comparator.comparingDouble(Choice::millis))
                .orElseThrow();
    }
}
