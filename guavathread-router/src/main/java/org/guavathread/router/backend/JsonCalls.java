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

/** Makes JSON calls to one address and checks status and request id of the answers. */
final class JsonCalls {

    static final String REQUEST_ID = "Guavathread-Request-Id";

    private static final int MAX_QUOTED = 200;

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

    /** Sends a request and reads its answer; statuses outside of the 200s and the given ones are failures. */
    <T> CompletableFuture<T> call(
            String step, HttpRequest.Builder request, Function<HttpResponse, T> reader, Integer... otherStatuses) {
        CompletableFuture<HttpResponse> sent = client.send(peer, request.build());
        return cancelling(sent, sent.thenCompose(answer -> {
            if (!answer.head().isSuccess() && !Set.of(otherStatuses).contains(answer.status())) {
                return failure(step, answer, "it says " + quoted(answer.text()), null);
            }
            try {
                return CompletableFuture.completedFuture(reader.apply(answer));
            } catch (IllegalArgumentException e) {
                return failure(step, answer, e.getMessage(), e);
            }
        }));
    }

    /** Makes the cancelling of a derived future end the exchange that it depends on. */
    static <T> CompletableFuture<T> cancelling(CompletableFuture<HttpResponse> sent, CompletableFuture<T> derived) {
        derived.whenComplete((value, failure) -> {
            if (derived.isCancelled()) {
                sent.cancel(true);
            }
        });
        return derived;
    }

    /** As {@link #call}, for an operation on one request whose id the answer must carry. */
    <T> CompletableFuture<T> callFor(
            RequestId id,
            String step,
            HttpRequest.Builder request,
            Function<HttpResponse, T> reader,
            Integer... otherStatuses) {
        request.header(REQUEST_ID, id.value());
        return call(
                step,
                request,
                answer -> {
                    checkRequestId(id, answer.head());
                    return reader.apply(answer);
                },
                otherStatuses);
    }

    static void checkRequestId(RequestId expected, HttpHead head) {
        String found = head.header(REQUEST_ID).orElse("none");
        if (!found.equals(expected.value())) {
            throw new IllegalArgumentException(
                    "it belongs to request " + quoted(found) + ", not to request " + expected);
        }
    }

    private <T> CompletableFuture<T> failure(String step, HttpResponse answer, String reason, Throwable cause) {
        return CompletableFuture.failedFuture(new BackendAnswerException(step, peer, answer.status(), reason, cause));
    }

    private static String quoted(String text) {
        return "\"" + text.substring(0, Math.min(MAX_QUOTED, text.length())).replaceAll("\\p{Cntrl}", " ") + "\"";
    }
}
