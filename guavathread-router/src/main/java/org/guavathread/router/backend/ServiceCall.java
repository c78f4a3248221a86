package org.guavathread.router.backend;

import java.util.Map;

import org.guavathread.core.id.RequestId;

/**
 * A call to a plain service.
 *
 * @param requestId the request
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers the caller's headers; those for credentials or message framing are not forwarded
 * @param body the body; not copied
 * @param repeatable whether the call may run more than once
 * @param sendDeadlineMillis time after which the call is no longer sent, in ms since the epoch
 * @param deadlineMillis deadline for the response, in ms since the epoch
 */
public record ServiceCall(
        RequestId requestId,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean repeatable,
        long sendDeadlineMillis,
        long deadlineMillis) {

    /** Copies the headers. */
    public ServiceCall {
        headers = Map.copyOf(headers);
    }
}
