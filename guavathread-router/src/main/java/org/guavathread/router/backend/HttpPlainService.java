package org.guavathread.router.backend;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.router.http.HttpStep;
import org.guavathread.router.http.RequestNotSentException;

/** A plain service over HTTP. */
public final class HttpPlainService implements PlainService {

    /** Caller headers that are not forwarded: credentials, and headers that apply to a single connection. */
    private static final Set<String> NOT_FORWARDED_HEADERS = Set.of(
            "authorization",
            "proxy-authorization",
            "x-api-key",
            "cookie",
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "proxy-connection",
            "accept-encoding",
            "guavathread-request-id");

    private static final Set<String> FRAMING_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length");

    private final HttpClient client;
    private final SocketAddressText address;

    /**
     * Creates an adapter.
     *
     * @param client the client
     * @param address address of the service
     */
    public HttpPlainService(HttpClient client, SocketAddressText address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public CompletableFuture<ServiceAnswer> call(ServiceCall call) {
        HttpRequest request;
        try {
            request = toHttpRequest(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(new RequestNotSentException(
                    HttpStep.POOL, address, "the request is invalid: " + e.getMessage(), e));
        }
        CompletableFuture<HttpResponse> sent = client.send(address, request);
        return JsonCalls.propagateCancellation(sent, sent.thenCompose(response -> toServiceAnswer(call, response)));
    }

    private static HttpRequest toHttpRequest(ServiceCall call) {
        HttpRequest.Builder builder = HttpRequest.of(call.method(), call.path());
        call.headers().forEach((name, value) -> {
            if (!NOT_FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                builder.header(name, value);
            }
        });
        builder.header(JsonCalls.REQUEST_ID, call.requestId().value())
                .body(call.body())
                .sendDeadlineMillis(call.sendDeadlineMillis())
                .deadlineMillis(call.deadlineMillis());
        return (call.repeatable() ? builder : builder.nonRepeatable()).build();
    }

    private CompletableFuture<ServiceAnswer> toServiceAnswer(ServiceCall call, HttpResponse response) {
        try {
            // A response without the header is matched by its connection alone, since requests are not pipelined.
            if (response.head().header(JsonCalls.REQUEST_ID).isPresent()) {
                JsonCalls.checkRequestId(call.requestId(), response.head());
            }
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(
                    new BackendAnswerException("call", address, response.status(), e.getMessage(), e));
        }
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        response.head().headers().forEach((name, values) -> {
            if (!FRAMING_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                headers.put(name, values);
            }
        });
        return CompletableFuture.completedFuture(new ServiceAnswer(response.status(), headers, response.body()));
    }
}
