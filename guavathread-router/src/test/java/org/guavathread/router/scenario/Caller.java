package org.guavathread.router.scenario;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sends requests to one host as a caller does. */
final class Caller {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    private final String address;
    private final Map<String, String> headers = new LinkedHashMap<>();

    Caller(String address) {
        this.address = address;
    }

    Caller key(String apiKey) {
        headers.put("Authorization", "Bearer " + apiKey);
        return this;
    }

    Caller idempotencyKey(String key) {
        headers.put("Idempotency-Key", key);
        return this;
    }

    Answer get(String path) {
        return sent(request(path).GET()).join();
    }

    Answer post(String path, String body) {
        return postLater(path, body).join();
    }

    CompletableFuture<Answer> postLater(String path, String body) {
        return sent(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Starts a streamed language request. */
    StreamedAnswer stream(String prompt, int maxTokens) {
        return StreamedAnswer.open(address, headers, languageBody(prompt, maxTokens, true));
    }

    /** Starts a language request without streaming, on a connection of its own. */
    StreamedAnswer whole(String prompt, int maxTokens) {
        return StreamedAnswer.open(address, headers, languageBody(prompt, maxTokens, false));
    }

    static String languageBody(String prompt, int maxTokens, boolean stream) {
        ObjectNode body = Answer.JSON.createObjectNode().put("model", "resumidor");
        body.put("max_tokens", maxTokens).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    private HttpRequest.Builder request(String path) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json");
        headers.forEach(request::header);
        return request;
    }

    private static CompletableFuture<Answer> sent(HttpRequest.Builder request) {
        return HTTP.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(answer -> new Answer(answer.statusCode(), answer.headers(), answer.body()));
    }
}
