package org.guavathread.router.backend;

import org.guavathread.core.id.RequestId;

/**
 * The part of an output that a decode engine is to produce.
 *
 * @param requestId the request, whose KV cache the engine has imported
 * @param offset index of the first token to produce
 * @param maxTokens greatest index plus one
 * @param silenceMillis longest time without a token before the stream is failed, in milliseconds
 * @param deadlineMillis time by which the stream must have ended, in ms since the epoch
 */
public record DecodeRequest(RequestId requestId, int offset, int maxTokens, long silenceMillis, long deadlineMillis) {}
