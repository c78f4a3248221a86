package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.request.RequestKind;

/** Generates the requests of five workspaces, two of them large. */
final class Workload {

    static final long DURATION_MICROS = 120_000_000L;

    private static final double[] SHARES = {0.35, 0.30, 0.20, 0.10, 0.05};
    private static final int BURSTING_WORKSPACE = 2;
    private static final double BURST_FACTOR = 5;
    private static final double DEFERRABLE_SHARE = 0.7;
    private static final int TEMPLATES = 4;
    private static final int TEMPLATE_BLOCKS = 3;
    private static final double TEMPLATE_SHARE = 0.6;
    private static final int BURST_SECONDS = 4;

    private record Shape(RequestKind kind, int promptTokens, int outputTokens) {}

    private final Deployment deployment;
    private final SplittableRandom random;

    Workload(Deployment deployment, long seed) {
        this.deployment = deployment;
        random = new SplittableRandom(seed);
    }

    static Map<WorkspaceId, Integer> rates() {
        Map<WorkspaceId, Integer> rates = new LinkedHashMap<>();
        for (int w = 0; w < SHARES.length; w++) {
            rates.put(new WorkspaceId("w" + w), (int) (SHARES[w] * 10_000));
        }
        return rates;
    }

    /**
     * Computes the requests per second at which the prefill or the decode engines are fully utilised, without prefix
     * cache.
     */
    static double capacity(Deployment deployment) {
        Workload sample = new Workload(deployment, 99);
        double pieceMicros = 0;
        double prefillMicros = 0;
        int count = 20_000;
        for (int i = 0; i < count; i++) {
            Shape shape = sample.shape();
            long step = EngineModel.STEP_FIXED_MICROS + 20 * EngineModel.STEP_MICROS_PER_REQUEST;
            long prefill = EngineModel.PREFILL_FIXED_MICROS
                    + Math.round(shape.promptTokens() / EngineModel.PREFILL_TOKENS_PER_MICRO);
            long held = prefill + EngineModel.transferMicros(shape.promptTokens()) + step * shape.outputTokens();
            pieceMicros += (double) held * EngineModel.pieces(shape.promptTokens() + shape.outputTokens());
            prefillMicros += prefill;
        }
        double decode = deployment.decodes() * EngineModel.MEMORY_PIECES * 1e6 * count / pieceMicros;
        double prefill = deployment.prefills() * 1e6 * count / prefillMicros;
        return Math.min(decode, prefill);
    }

    List<SimRequest> requests(double load, boolean burst) {
        double capacity = capacity(deployment);
        List<SimRequest> all = new ArrayList<>();
        for (int w = 0; w < SHARES.length; w++) {
            double rate = capacity * SHARES[w];
            double sentRate = rate * load * (burst && w == BURSTING_WORKSPACE ? BURST_FACTOR : 1);
            addWorkspace(w, rate, sentRate, all);
        }
        all.sort(Comparator.comparingLong(r -> r.sentMicros));
        return Collections.unmodifiableList(all);
    }

    private void addWorkspace(int number, double rate, double sentRate, List<SimRequest> all) {
        WorkspaceId workspace = new WorkspaceId("w" + number);
        double bucketRequests = rate * BURST_SECONDS;
        double atMicros = 0;
        for (int i = 0; ; i++) {
            double gapMicros = -Math.log(1 - random.nextDouble()) / sentRate * 1e6;
            atMicros += gapMicros;
            if (atMicros > DURATION_MICROS) {
                return;
            }
            bucketRequests = Math.min(rate * BURST_SECONDS, bucketRequests + gapMicros * rate / 1e6);
            boolean within = bucketRequests >= 1;
            bucketRequests -= within ? 1 : 0;
            int host = (number + random.nextInt(3)) % Deployment.HOSTS;
            Shape shape = shape();
            all.add(new SimRequest(
                    new RequestId("w" + number + "-" + i),
                    workspace,
                    host,
                    shape.kind(),
                    shape.promptTokens(),
                    shape.outputTokens(),
                    prefixes(number, shape.promptTokens()),
                    Math.round(atMicros),
                    within));
        }
    }

    private Shape shape() {
        boolean deferrable = random.nextDouble() < DEFERRABLE_SHARE;
        return deferrable
                ? new Shape(RequestKind.DEFERRABLE, logNormal(1_200, 0.6, 50, 6_000), logNormal(140, 0.5, 8, 512))
                : new Shape(RequestKind.IDEMPOTENT, logNormal(300, 0.5, 30, 2_000), logNormal(60, 0.5, 8, 512));
    }

    private int logNormal(double median, double sigma, int min, int max) {
        double gauss = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return (int) Math.max(min, Math.min(max, Math.round(median * Math.exp(sigma * gauss))));
    }

    private List<PrefixHash> prefixes(int workspace, int promptTokens) {
        int blocks = promptTokens / EngineModel.BLOCK_TOKENS;
        boolean templated = random.nextDouble() < TEMPLATE_SHARE;
        int template = random.nextInt(TEMPLATES);
        List<PrefixHash> hashes = new ArrayList<>(blocks);
        for (int b = 0; b < blocks; b++) {
            long shared = (workspace * 100L + template) * 100 + b;
            hashes.add(new PrefixHash(templated && b < TEMPLATE_BLOCKS ? shared : random.nextLong() | Long.MIN_VALUE));
        }
        return hashes;
    }
}
