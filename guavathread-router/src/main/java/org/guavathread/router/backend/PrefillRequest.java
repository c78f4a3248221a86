package org.guavathread.router.backend;

import java.util.List;

import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RequestId;

/**
 * A request to compute the KV cache of a prompt.
 *
 * @param requestId the request
 * @param model the model
 * @param prompt the prompt
 * @param promptTokens length of the prompt in tokens
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param priority requests with a larger value are served first
 * @param deadlineMillis deadline for the result, in ms since the epoch
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
