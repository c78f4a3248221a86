package org.guavathread.router.backend;

import java.util.Map;

import org.guavathread.core.id.RequestId;

/**
 * A call of a plain service.
 *
 * @param requestId the request
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers headers of the caller; those that carry credentials or frame the message are not passed on
 * @param body the body; not copied
 * @param repeatable whether the call may run twice
 * @param sendDeadlineMillis time after which the call is no longer sent, in ms since the epoch
 * @param deadlineMillis time by which the answer must have come, in ms since the epoch
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
