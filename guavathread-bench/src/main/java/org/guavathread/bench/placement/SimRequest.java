package org.guavathread.bench.placement;

import java.util.List;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.request.RequestKind;

/** A request of the workload and its outcome. */
final class SimRequest {

    static final int MAX_OUTPUT = 512;

    private static final long NONE = -1;

    final RequestId id;
    final WorkspaceId workspace;
    final int host;
    final RequestKind kind;
    final int promptTokens;
    final int outputTokens;
    final List<PrefixHash> prefixes;
    final long sentMicros;
    final boolean withinRate;

    int generated;
    int longGaps;
    long firstTokenMicros = NONE;
    long lastTokenMicros = NONE;
    boolean finished;
    boolean refused;
    boolean failed;
    Attempt attempt;

    SimRequest(
            RequestId id,
            WorkspaceId workspace,
            int host,
            RequestKind kind,
            int promptTokens,
            int outputTokens,
            List<PrefixHash> prefixes,
            long sentMicros,
            boolean withinRate) {
        this.id = id;
        this.workspace = workspace;
        this.host = host;
        this.kind = kind;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.prefixes = prefixes;
        this.sentMicros = sentMicros;
        this.withinRate = withinRate;
    }

    long deadlineMicros() {
        return sentMicros + (kind == RequestKind.DEFERRABLE ? 120_000_000L : 5_000_000L);
    }

    /** Counts a token that leaves the engine now; an interruption before a resumed stream counts as a gap. */
    void token(long nowMicros, long toClientMicros) {
        if (firstTokenMicros == NONE) {
            firstTokenMicros = nowMicros + toClientMicros;
        } else if (nowMicros - lastTokenMicros > EngineModel.TARGET_TOKEN_GAP_MICROS) {
            longGaps++;
        }
        lastTokenMicros = nowMicros;
        generated++;
    }

    boolean isAnswered() {
        return finished || refused || failed;
    }

    int tokens() {
        return promptTokens + outputTokens;
    }

    boolean metFirstToken() {
        return firstTokenMicros != NONE && firstTokenMicros - sentMicros <= EngineModel.TARGET_FIRST_TOKEN_MICROS;
    }

    /** The 95th percentile of the gaps meets its target if at most a twentieth of them exceed it. */
    boolean metGaps() {
        return longGaps * 20 <= outputTokens;
    }

    boolean met() {
        return finished && metFirstToken() && metGaps();
    }

    int remainingPrompt() {
        return promptTokens + generated;
    }

    int remainingOutput() {
        return outputTokens - generated;
    }
}
