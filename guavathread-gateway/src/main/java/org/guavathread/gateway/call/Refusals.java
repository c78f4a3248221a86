package org.guavathread.gateway.call;

import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.request.Refusal;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.caller.RefusalWriter;

/** Writes refusals to callers. */
final class Refusals {

    private Refusals() {}

    static void write(CallerExchange exchange, Refusal refusal, Map<String, String> headers) {
        byte[] body = RefusalWriter.body(refusal);
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Type", "application/json");
        all.put("Content-Length", Integer.toString(body.length));
        exchange.openStream(refusal.code().httpStatus(), all).ifPresent(out -> {
            out.write(body);
            out.finish();
        });
    }
}
