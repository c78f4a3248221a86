package org.guavathread.gateway.call;

import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.dispatch.CrashTrait;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.gateway.protocol.CallerRequest;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.caller.RefusalWriter;

/** Builds and writes refusals. */
final class Refusals {

    /** Minimum Retry-After of a request that is suspected of crashing backend servers. */
    private static final long MIN_CRASH_RETRY_AFTER_MILLIS = 5_000;

    private Refusals() {}

    /** Refuses a request with a trait that is blamed for crashes, until the trait is tested next. */
    static Refusal crashSuspect(CallerRequest request, CrashTrait blamed, long testInMillis) {
        String what = blamed.isWholeRequest()
                ? "this request"
                : "requests with prompt part "
                        + request.promptParts().get(blamed.specificity()).id();
        return Refusal.notRun(RefusalCode.CRASH_SUSPECT, "Backend servers crashed while they ran " + what + ".")
                .retryAfter(Math.max(MIN_CRASH_RETRY_AFTER_MILLIS, testInMillis));
    }

    static void write(CallerExchange exchange, Refusal refusal, Map<String, String> headers) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Type", "application/json");
        exchange.answerAsync(refusal.code().httpStatus(), all, RefusalWriter.body(refusal));
    }
}
