package org.guavathread.core.registry;

/** The stage of a language request that a backend server executes. */
public enum EngineStage {
    /** Not an engine. */
    NONE(false, false),
    /** Processes prompts for decode engines. */
    PREFILL(true, false),
    /** Generates tokens; also processes prompts, more slowly, when no prefill engine has done so. */
    DECODE(false, true),
    /** Processes prompts and generates tokens. */
    COLOCATED(false, true);

    private final boolean prefillsForOthers;
    private final boolean generates;

    EngineStage(boolean prefillsForOthers, boolean generates) {
        this.prefillsForOthers = prefillsForOthers;
        this.generates = generates;
    }

    /**
     * Tells whether the engine processes prompts for which other engines then generate the answer.
     *
     * @return true for prefill engines
     */
    public boolean prefillsForOthers() {
        return prefillsForOthers;
    }

    /**
     * Tells whether the engine generates answers.
     *
     * @return true for decode and colocated engines
     */
    public boolean generates() {
        return generates;
    }
}
