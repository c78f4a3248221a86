package org.guavathread.router.backend;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/** Makes JSON calls to one address and checks the status and request ID of the responses. */
final class JsonCalls {

    static final String REQUEST_ID = "Guavathread-Request-Id";

    private static final int MAX_QUOTED_CHARS = 200;

    private final HttpClient client;
    private final SocketAddressText peer;

    JsonCalls(HttpClient client, SocketAddressText peer) {
        this.client = client;
        this.peer = peer;
    }

    SocketAddressText peer() {
        return peer;
    }

    HttpClient client() {
        return client;
    }

    /** Sends a request and reads its response; a status that is neither 2xx nor among the given ones is a failure. */
    <T> CompletableFuture<T> call(
            String step, HttpRequest.Builder request, Function<HttpResponse, T> reader, Integer... acceptedStatuses) {
        CompletableFuture<HttpResponse> sent = client.send(peer, request.build());
        return propagateCancellation(sent, sent.thenCompose(response -> {
            if (!response.head().isSuccess() && !Set.of(acceptedStatuses).contains(response.status())) {
                return failure(step, response, "unexpected status with body " + quoted(response.text()), null);
            }
            try {
                return CompletableFuture.completedFuture(reader.apply(response));
            } catch (IllegalArgumentException e) {
                return failure(step, response, e.getMessage(), e);
            }
        }));
    }

    /** Cancels the exchange when the future derived from it is cancelled. */
    static <T> CompletableFuture<T> propagateCancellation(
            CompletableFuture<HttpResponse> sent, CompletableFuture<T> derived) {
        derived.whenComplete((value, failure) -> {
            if (derived.isCancelled()) {
                sent.cancel(true);
            }
        });
        return derived;
    }

    /** Like {@link #call}, for an operation on one request, whose ID the response must carry. */
    <T> CompletableFuture<T> callFor(
            RequestId id,
            String step,
            HttpRequest.Builder request,
            Function<HttpResponse, T> reader,
            Integer... acceptedStatuses) {
        request.header(REQUEST_ID, id.value());
        return call(
                step,
                request,
                response -> {
                    checkRequestId(id, response.head());
                    return reader.apply(response);
                },
                acceptedStatuses);
    }

    static void checkRequestId(RequestId expected, HttpHead head) {
        String found = head.header(REQUEST_ID).orElse("none");
        if (!found.equals(expected.value())) {
            throw new IllegalArgumentException("its request ID is " + quoted(found) + ", expected " + expected);
        }
    }

    private <T> CompletableFuture<T> failure(String step, HttpResponse response, String reason, Throwable cause) {
        return CompletableFuture.failedFuture(new BackendAnswerException(step, peer, response.status(), reason, cause));
    }

    private static String quoted(String text) {
        return "\""
                + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length())).replaceAll("\\p{Cntrl}", " ") + "\"";
    }
}
