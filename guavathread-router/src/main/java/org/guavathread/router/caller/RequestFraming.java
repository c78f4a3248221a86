package org.guavathread.router.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.glassfish.grizzly.http.server.Request;

/**
 * Detects requests whose end two parsers could place differently. The body of such a request could hide a second
 * request (request smuggling), so it is refused.
 */
final class RequestFraming {

    private RequestFraming() {}

    static Optional<String> faultOf(Request request) {
        List<String> contentLengths = valuesOf(request, "Content-Length");
        List<String> transferEncodings = valuesOf(request, "Transfer-Encoding");
        if (contentLengths.size() > 1 || contentLengths.stream().anyMatch(l -> !l.matches("[0-9]{1,18}"))) {
            return Optional.of("The Content-Length is not one decimal number; send a single one.");
        }
        if (transferEncodings.size() > 1
                || transferEncodings.stream().anyMatch(c -> !"chunked".equalsIgnoreCase(c.strip()))) {
            return Optional.of("The Transfer-Encoding \"" + String.join(", ", transferEncodings)
                    + "\" is not supported; use chunked.");
        }
        if (valuesOf(request, "Host").size() != 1) {
            return Optional.of("The request does not have exactly one Host header.");
        }
        return Optional.empty();
    }

    private static List<String> valuesOf(Request request, String name) {
        List<String> values = new ArrayList<>();
        request.getHeaders(name).forEach(values::add);
        return values;
    }
}
