package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * A request to a decode engine for a range of output tokens.
 *
 * @param requestId the request, whose KV cache the engine has imported
 * @param offset index of the first token to produce
 * @param maxTokens exclusive upper bound of the token indices
 * @param inactivityTimeoutMillis the stream fails if nothing arrives for this time, in milliseconds
 * @param deadlineMillis deadline for the end of the stream, in ms since the epoch
 */
public record DecodeRequest(
        RequestId requestId, int offset, int maxTokens, long inactivityTimeoutMillis, long deadlineMillis) {}
