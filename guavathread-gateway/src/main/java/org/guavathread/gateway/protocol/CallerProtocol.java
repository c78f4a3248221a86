package org.guavathread.gateway.protocol;

import java.util.Map;

import org.guavathread.core.request.Refusal;
import org.guavathread.router.caller.CallerExchange;

/** The protocol between callers and the gateway on a platform. */
public interface CallerProtocol {

    /**
     * Decodes a request.
     *
     * @param exchange the request
     * @return the decoded request
     * @throws IllegalArgumentException if the request cannot be forwarded; the message is sent to the caller
     */
    CallerRequest decode(CallerExchange exchange);

    /**
     * Returns the headers of a refusal.
     *
     * @param refusal the refusal
     * @return headers other than content type and length
     */
    Map<String, String> headersOf(Refusal refusal);
}
