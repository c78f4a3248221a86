package org.guavathread.core.dispatch;

/**
 * Size of a language request.
 *
 * @param promptTokens tokens of its prompt
 * @param maxOutputTokens greatest number of tokens of its answer
 * @param expectedOutputTokens the caller's estimate of the tokens of its answer
 * @param isResumed whether it continues an answer that another engine began
 */
public record EngineWork(
        int promptTokens, int maxOutputTokens, int expectedOutputTokens, int slotTokens, boolean isResumed) {

    /**
     * Part of the expected answer that is reserved. A request fills half of its answer's room on average, so less than the
     * whole can be reserved; with much less, answers outgrow their reservation and engines preempt requests.
     */
    private static final double RESERVED_SHARE = 0.8;

    /**
     * Gives the tokens that the workspace is charged for.
     *
     * @return prompt and greatest answer
     */
    public int chargedTokens() {
        return promptTokens + maxOutputTokens;
    }

    /**
     * Gives the tokens that are reserved for the request in an engine's memory.
     *
     * @return prompt and part of the expected answer
     */
    public int heldTokens() {
        return promptTokens + (int) (RESERVED_SHARE * Math.min(expectedOutputTokens, maxOutputTokens));
    }

    /**
     * Gives the part of an engine that the request takes up, in tokens of its memory. An engine is full when its memory
     * or its batch is, so a small request takes up at least one place of the batch.
     *
     * @return the greater of the reserved tokens and the memory for each place of a batch
     */
    public int occupiedTokens() {
        return Math.max(slotTokens, heldTokens());
    }

    /**
     * Gives the request at an engine whose batch is bounded.
     *
     * @param slotTokens memory of the engine divided by the places of its batch, in tokens
     * @return the work
     */
    public EngineWork withSlotTokens(int slotTokens) {
        return new EngineWork(promptTokens, maxOutputTokens, expectedOutputTokens, slotTokens, isResumed);
    }

    /**
     * Gives the rest of a request whose answer was begun.
     *
     * @return work that only a generating engine can do
     */
    public EngineWork resumed() {
        return new EngineWork(promptTokens, maxOutputTokens, expectedOutputTokens, slotTokens, true);
    }
}
