package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;

/**
 * Chooses the engines of a language request by the expected time to its first token. The prompt is processed either by
 * a prefill engine, whose result is then transferred, or locally on the decode engine, at half the speed and between
 * the decode steps of other requests. Under low load, local prefill is as fast and saves the transfer; in a burst, both
 * ways share the load.
 */
public final class EngineDispatch {

    /** Prefill throughput of prefill engines, in tokens per millisecond, from the data sheet of the engines. */
    private static final double PREFILL_TOKENS_PER_MILLISECOND = 33;

    /**
     * Prefill throughput of decode engines. The engines' protocol description states half that of prefill engines; the
     * decode steps between the chunks of a prompt reduce it further.
     */
    private static final double LOCAL_PREFILL_TOKENS_PER_MILLISECOND = PREFILL_TOKENS_PER_MILLISECOND / 3;

    /** Fraction of the latency target within which local prefill is preferred, since it saves the transfer. */
    private static final double LOCAL_PREFILL_TARGET_FRACTION = 0.45;

    /**
     * Memory utilisation of a decode engine up to which local prefill is preferred. Above it, prefill would slow down
     * too many requests that are decoding there.
     */
    private static final double LOCAL_PREFILL_MAX_UTILISATION = 0.25;

    /** Utilisation up to which a refusal has another reason than the load, such as a server that stops. */
    private static final double ROOM_EXPECTED_UTILISATION = 0.6;

    /** Round trips and KV transfer from the prefill engine to the decode engine, in milliseconds. */
    private static final double TRANSFER_MILLIS = 25;

    /** Fraction of the local prefill time by which the requests that are decoding on the engine are delayed. */
    private static final double DECODE_SLOWDOWN = 0.5;

    /** Penalty for a failure rate of 1: clients abandon a stream that stalls for about this long. */
    private static final double FAILURE_PENALTY_MILLIS = 2_000;

    /**
     * Random jitter on each estimate; smaller differences are noise, as other hosts' reports are a few hundred ms old.
     */
    private static final double JITTER_MILLIS = 30;

    /** Penalty for a full memory: the batch is large then, and each decode step takes longer. */
    private static final double UTILISATION_PENALTY_MILLIS = 200;

    /** Penalty for a utilisation of 2: the request waits until others release memory. */
    private static final double OVERCOMMIT_PENALTY_MILLIS = 2_400;

    private final ServerLoads loads;
    private final ServerHealth health;
    private final RandomGenerator random;

    /**
     * Creates a dispatcher.
     *
     * @param loads load of the engines
     * @param health failure rates of the engines
     * @param random source of random numbers
     */
    public EngineDispatch(ServerLoads loads, ServerHealth health, RandomGenerator random) {
        this.loads = loads;
        this.health = health;
        this.random = random;
    }

    /**
     * Chooses the engines of a request among warm ones if they serve it in time, otherwise among all. Cold engines are
     * empty, so that all hosts would prefer them at the same moment.
     *
     * @param servers the engines of the service that accept new requests
     * @param warm those of them that are not cold
     * @param tried decode engines to which the request has already been sent
     * @param work size of the request
     * @param memoryTokens tokens that the memory of one engine holds
     * @param targetMillis latency target of the first token, in milliseconds
     * @param limit how far the request may fill the engines
     * @param nowMillis the current time
     * @return the plan, or empty if by the latest reports no untried decode engine has free memory
     */
    public Optional<EnginePlan> chooseWarmFirst(
            Collection<Worker> servers,
            Collection<Worker> warm,
            Set<BackendServerId> tried,
            EngineWork work,
            int memoryTokens,
            long targetMillis,
            RoomLimit limit,
            long nowMillis) {
        if (warm.size() == servers.size()) {
            return choose(servers, tried, work, memoryTokens, targetMillis, limit, nowMillis);
        }
        return choose(warm, tried, work, memoryTokens, targetMillis, limit, nowMillis)
                .filter(plan -> plan.expectedMillis() <= targetMillis)
                .or(() -> choose(servers, tried, work, memoryTokens, targetMillis, limit, nowMillis));
    }

    /**
     * Chooses the engines of a request.
     *
     * @param servers the engines of the service that accept new requests
     * @param tried decode engines to which the request has already been sent
     * @param work size of the request
     * @param memoryTokens tokens that the memory of one engine holds
     * @param targetMillis latency target of the first token, in milliseconds
     * @param nowMillis the current time
     * @return the plan, or empty if by the latest reports no untried decode engine has free memory
     */
    public Optional<EnginePlan> choose(
            Collection<Worker> servers,
            Set<BackendServerId> tried,
            EngineWork work,
            int memoryTokens,
            long targetMillis,
            long nowMillis) {
        return choose(servers, tried, work, memoryTokens, targetMillis, RoomLimit.NONE_KEPT, nowMillis);
    }

    /**
     * Chooses the engines of a request that leaves room to more urgent ones.
     *
     * @param servers the engines of the service that accept new requests
     * @param tried decode engines to which the request has already been sent
     * @param work size of the request
     * @param memoryTokens tokens that the memory of one engine holds
     * @param targetMillis latency target of the first token, in milliseconds
     * @param limit how far the request may fill the engines
     * @param nowMillis the current time
     * @return the plan, or empty if by the latest reports no untried decode engine has free memory
     */
    public Optional<EnginePlan> choose(
            Collection<Worker> servers,
            Set<BackendServerId> tried,
            EngineWork work,
            int memoryTokens,
            long targetMillis,
            RoomLimit limit,
            long nowMillis) {
        List<Worker> decodeEngines = servers.stream()
                .filter(w -> w.stage().generates() && !tried.contains(w.id()))
                .toList();
        List<Worker> candidates = health.preferred(decodeEngines, nowMillis).stream()
                .filter(w -> !health.isFull(w.id(), nowMillis) && hasRoom(w, work, memoryTokens, limit))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ScoredWorker fastest = cheapest(candidates, w -> localPrefillMillis(w, work, memoryTokens));
        EnginePlan local = new EnginePlan(Optional.empty(), fastest.worker(), fastest.millis());
        boolean lightlyLoaded = utilisationWith(local.decode(), work, memoryTokens) <= LOCAL_PREFILL_MAX_UTILISATION;
        if (lightlyLoaded && local.expectedMillis() <= LOCAL_PREFILL_TARGET_FRACTION * targetMillis) {
            return Optional.of(local);
        }
        Optional<EnginePlan> disaggregated = disaggregatedPlan(servers, candidates, work, memoryTokens, nowMillis);
        double localCost = local.expectedMillis() + work.promptTokens() / LOCAL_PREFILL_TOKENS_PER_MILLISECOND;
        return disaggregated.filter(plan -> plan.expectedMillis() < localCost).or(() -> Optional.of(local));
    }

    /**
     * Records that an engine refused to reserve memory for a request that was planned for it.
     *
     * @param engine the engine
     * @param work size of the request
     * @param memoryTokens tokens that the memory of one engine holds
     * @param nowMillis the current time
     */
    public void refused(Worker engine, EngineWork work, int memoryTokens, long nowMillis) {
        boolean roomWasExpected = utilisationWith(engine, work, memoryTokens) <= ROOM_EXPECTED_UTILISATION;
        health.refused(engine.id(), roomWasExpected, nowMillis);
    }

    private Optional<EnginePlan> disaggregatedPlan(
            Collection<Worker> servers, List<Worker> decodeEngines, EngineWork work, int memoryTokens, long nowMillis) {
        List<Worker> prefillEngines = servers.stream()
                .filter(w -> w.stage().prefillsForOthers() && !health.isAvoided(w.id(), nowMillis))
                .toList();
        if (work.isResumed()) {
            return Optional.empty();
        }
        // A KV cache fits only engines of the software version that wrote it.
        return decodeEngines.stream()
                .map(Worker::softwareVersion)
                .distinct()
                .flatMap(
                        version -> disaggregatedPlan(
                                ofVersion(prefillEngines, version),
                                ofVersion(decodeEngines, version),
                                work,
                                memoryTokens)
                                .stream())
                .min(Comparator.comparingDouble(EnginePlan::expectedMillis));
    }

    private static List<Worker> ofVersion(List<Worker> engines, SoftwareVersion version) {
        return engines.stream().filter(w -> w.softwareVersion().equals(version)).toList();
    }

    private Optional<EnginePlan> disaggregatedPlan(
            List<Worker> prefillEngines, List<Worker> decodeEngines, EngineWork work, int memoryTokens) {
        if (prefillEngines.isEmpty()) {
            return Optional.empty();
        }
        ScoredWorker prefill = cheapest(
                prefillEngines,
                w -> (loads.promptTokens(w.id()) + work.promptTokens()) / PREFILL_TOKENS_PER_MILLISECOND
                        + FAILURE_PENALTY_MILLIS * health.failureRate(w.id()));
        ScoredWorker decode = cheapest(decodeEngines, w -> decodePenaltyMillis(w, work, memoryTokens));
        double expected = prefill.millis() + TRANSFER_MILLIS + decode.millis();
        return Optional.of(new EnginePlan(Optional.of(prefill.worker()), decode.worker(), expected));
    }

    private double localPrefillMillis(Worker worker, EngineWork work, int memoryTokens) {
        double decodeDelay = DECODE_SLOWDOWN * work.promptTokens() / LOCAL_PREFILL_TOKENS_PER_MILLISECOND;
        return (loads.promptTokens(worker.id()) + work.promptTokens()) / LOCAL_PREFILL_TOKENS_PER_MILLISECOND
                + decodeDelay * Math.min(1, loads.heldTokens(worker.id()) / (double) memoryTokens)
                + decodePenaltyMillis(worker, work, memoryTokens);
    }

    /** An empty engine takes any request that fits: its answer has no others to preempt. */
    private boolean hasRoom(Worker worker, EngineWork work, int memoryTokens, RoomLimit limit) {
        double maxUtilisation = limit.maxUtilisation(worker.id());
        return utilisationWith(worker, work, memoryTokens) <= maxUtilisation
                || maxUtilisation > 0 && loads.heldTokens(worker.id()) == 0 && work.fitsInto(memoryTokens);
    }

    private double utilisationWith(Worker worker, EngineWork work, int memoryTokens) {
        return (loads.heldTokens(worker.id()) + work.occupiedTokens()) / (double) memoryTokens;
    }

    private double decodePenaltyMillis(Worker worker, EngineWork work, int memoryTokens) {
        double utilisation = utilisationWith(worker, work, memoryTokens);
        return OVERCOMMIT_PENALTY_MILLIS * Math.max(0, utilisation - 1)
                + UTILISATION_PENALTY_MILLIS * utilisation
                + FAILURE_PENALTY_MILLIS * health.failureRate(worker.id());
    }

    private record ScoredWorker(Worker worker, double millis) {}

    private ScoredWorker cheapest(List<Worker> workers, ToDoubleFunction<Worker> millis) {
        return workers.stream()
                .map(w -> new ScoredWorker(w, millis.applyAsDouble(w) + random.nextDouble() * JITTER_MILLIS))
                .min(Comparator.comparingDouble(ScoredWorker::millis))
                .orElseThrow();
    }
}
