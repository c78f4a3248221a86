package org.guavathread.router.backend;

import java.util.List;

import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RequestId;

/**
 * What a prefill engine is to compute.
 *
 * @param requestId the request
 * @param model the model
 * @param prompt the prompt
 * @param promptTokens length of the prompt in tokens
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param priority larger numbers are served first
 * @param deadlineMillis time by which the result must have come, in ms since the epoch
 */
public record PrefillRequest(
        RequestId requestId,
        ModelId model,
        String prompt,
        int promptTokens,
        List<Long> prefixHashes,
        int priority,
        long deadlineMillis) {

    /** Copies the hashes. */
    public PrefillRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }
}
