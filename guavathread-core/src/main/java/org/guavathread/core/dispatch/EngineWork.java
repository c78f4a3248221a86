package org.guavathread.core.dispatch;

/**
 * Size of a language request.
 *
 * @param promptTokens tokens of its prompt
 * @param maxOutputTokens maximum number of tokens of its answer
 * @param expectedOutputTokens the caller's estimate of the tokens of its answer
 * @param slotTokens memory of an engine divided by its batch slots, in tokens; 0 if the batch is unbounded
 * @param isResumed whether it continues an answer that another engine began
 */
public record EngineWork(
        int promptTokens, int maxOutputTokens, int expectedOutputTokens, int slotTokens, boolean isResumed) {

    /**
     * Fraction of the expected answer for which memory is reserved. On average a running request has generated half of
     * its answer, so less than the whole suffices; with much less, answers outgrow their reservation and engines
     * preempt requests.
     */
    private static final double RESERVED_ANSWER_FRACTION = 0.8;

    /**
     * Returns the tokens that are charged to the workspace.
     *
     * @return tokens of the prompt and of the longest allowed answer
     */
    public int chargedTokens() {
        return promptTokens + maxOutputTokens;
    }

    /**
     * Returns the tokens that are reserved for the request in an engine's memory.
     *
     * @return tokens of the prompt and of a fraction of the expected answer
     */
    public int heldTokens() {
        return promptTokens + (int) (RESERVED_ANSWER_FRACTION * Math.min(expectedOutputTokens, maxOutputTokens));
    }

    /**
     * Tells whether an engine that runs nothing else has the memory for the request.
     *
     * @param memoryTokens tokens that the memory of one engine holds
     * @return false if the request can run on no engine
     */
    public boolean fitsInto(int memoryTokens) {
        return heldTokens() <= memoryTokens;
    }

    /**
     * Returns the capacity of an engine that the request occupies, in tokens of memory. An engine is full when either
     * its memory or its batch is, so a small request counts as at least one batch slot.
     *
     * @return the larger of the reserved tokens and the memory of one batch slot
     */
    public int occupiedTokens() {
        return Math.max(slotTokens, heldTokens());
    }

    /**
     * Returns this request for an engine whose batch size is bounded.
     *
     * @param slotTokens memory of the engine divided by its batch slots, in tokens
     * @return the request with that slot size
     */
    public EngineWork withSlotTokens(int slotTokens) {
        return new EngineWork(promptTokens, maxOutputTokens, expectedOutputTokens, slotTokens, isResumed);
    }

    /**
     * Returns the remainder of a request whose answer has been started by another engine.
     *
     * @return the request, which no prefill engine can process
     */
    public EngineWork resumed() {
        return new EngineWork(promptTokens, maxOutputTokens, expectedOutputTokens, slotTokens, true);
    }
}
