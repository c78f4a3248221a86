package org.guavathread.bench.placement;

/** One attempt to run a request on a pair of engines. */
final class Attempt {

    /** Progress of an attempt. */
    enum Stage {
        RESERVING,
        PREFILL,
        PREFILLED,
        TRANSFER,
        DECODE,
        ENDED
    }

    final SimRequest request;
    final FakePrefill prefill;
    final FakeDecode decode;
    final int promptTokens;
    final int outputTokens;
    Stage stage = Stage.RESERVING;
    int pieces;
    int computedTokens;
    int cachedTokens;
    long serviceMicros;
    long progressMicros;
    int produced;

    Attempt(SimRequest request, FakePrefill prefill, FakeDecode decode) {
        this.request = request;
        this.prefill = prefill;
        this.decode = decode;
        promptTokens = request.remainingPrompt();
        outputTokens = request.remainingOutput();
    }

    boolean isCurrent() {
        return request.attempt == this && stage != Stage.ENDED;
    }
}
