package org.guavathread.gateway.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.PromptPart;

/**
 * A decoded caller's request.
 *
 * @param attemptId the caller's id of this attempt; empty if it sent none
 * @param method the HTTP method
 * @param virtualHost the value of the caller's Host header, unchanged
 * @param path the path without query
 * @param query the query with its question mark, or an empty text
 * @param headers headers to forward to a backend server
 * @param body the body
 * @param deadlineMillis when the caller stops waiting; {@link Long#MAX_VALUE} if it sent no deadline
 * @param apiKey the API key that the caller sent
 * @param work size of a language request
 * @param promptParts parts of its prompt in their order; empty if the caller does not state them
 * @param lastEventId id of the last event that the caller received of an interrupted answer
 * @param resumedAttemptId id of the attempt that brought the first event of that answer
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(
        String attemptId,
        String method,
        String virtualHost,
        String path,
        String query,
        Map<String, String> headers,
        byte[] body,
        long deadlineMillis,
        Optional<String> apiKey,
        Optional<EngineWork> work,
        List<PromptPart> promptParts,
        Optional<String> lastEventId,
        Optional<String> resumedAttemptId) {}
