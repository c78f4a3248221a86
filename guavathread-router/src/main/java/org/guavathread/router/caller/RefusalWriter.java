package org.guavathread.router.caller;

import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.Refusal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes refusals as JSON for callers. */
public final class RefusalWriter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private RefusalWriter() {}

    /**
     * Writes a refusal for a request that this host gave no id.
     *
     * @param refusal the refusal
     * @return JSON in UTF-8
     */
    public static byte[] body(Refusal refusal) {
        return bytes(refusal, error(refusal));
    }

    static byte[] body(Refusal refusal, RequestId id) {
        Map<String, Object> error = error(refusal);
        error.put("requestId", id.value());
        return bytes(refusal, error);
    }

    private static Map<String, Object> error(Refusal refusal) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", refusal.code().name());
        error.put("message", refusal.message());
        error.put("run", refusal.run().wireName());
        return error;
    }

    private static byte[] bytes(Refusal refusal, Map<String, Object> error) {
        try {
            return JSON.writeValueAsBytes(Map.of("error", error));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A refusal cannot be written as JSON: " + refusal, e);
        }
    }

    /** Returns whole seconds, rounded up, because the Retry-After header has no smaller unit. */
    static long retryAfterSeconds(Refusal refusal) {
        return (refusal.retryAfterMillis() + 999) / 1_000;
    }
}
