package org.guavathread.cli.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * HTTP client that sends requests as a caller of the router does.
 *
 * <pre>{@code
 * caller.request("127.0.0.1:8080", "/v1/services/lookup").key("orchards-key").body("{}").send().join();
 * }</pre>
 */
final class DemoCaller implements AutoCloseable {

    /** Longer than the timeout of every route of the demo, so that the router times out before its caller. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final String EVENT_PREFIX = "data: ";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "demo-caller");
        thread.setDaemon(true);
        return thread;
    });

    Request request(String address, String path) {
        return new Request(address, path);
    }

    /** Runs a sequence of blocking requests in the background. */
    <T> CompletableFuture<T> runAsync(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** Builder of a request; key, idempotency key and body are optional. */
    final class Request {

        private final HttpRequest.Builder builder;

        private Request(String address, String path) {
            builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(TIMEOUT)
                    .header("Content-Type", "application/json");
        }

        Request key(String apiKey) {
            builder.header("Authorization", "Bearer " + apiKey);
            return this;
        }

        Request idempotencyKey(String value) {
            builder.header("Idempotency-Key", value);
            return this;
        }

        Request body(String json) {
            builder.POST(HttpRequest.BodyPublishers.ofString(json));
            return this;
        }

        Reply sendAndWait() {
            return send().join();
        }

        CompletableFuture<Reply> send() {
            long startNanos = System.nanoTime();
            return http.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofByteArray())
                    .handle((response, failure) -> {
                        long millis = millisSince(startNanos);
                        if (failure != null) {
                            return new Reply(0, MissingNode.getInstance(), false, reasonOf(failure), millis);
                        }
                        boolean replayed = response.headers()
                                .firstValue("Guavathread-Replayed")
                                .isPresent();
                        return new Reply(response.statusCode(), parsed(response.body()), replayed, "", millis);
                    });
        }

        CompletableFuture<StreamReply> stream() {
            return runAsync(this::readStream);
        }

        private StreamReply readStream() {
            long startNanos = System.nanoTime();
            List<String> tokens = new ArrayList<>();
            long firstTokenMillis = -1;
            int status = 0;
            try {
                HttpResponse<java.io.InputStream> response =
                        http.send(builder.build(), HttpResponse.BodyHandlers.ofInputStream());
                status = response.statusCode();
                if (status != 200) {
                    JsonNode refusal = parsed(response.body().readAllBytes());
                    return streamReply(
                            status, tokens, false, -1, refusal.at("/error/code").asText());
                }
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.equals(EVENT_PREFIX + "[DONE]")) {
                        return streamReply(status, tokens, true, firstTokenMillis, "");
                    }
                    if (line.startsWith(EVENT_PREFIX)) {
                        firstTokenMillis = firstTokenMillis < 0 ? millisSince(startNanos) : firstTokenMillis;
                        tokens.add(tokenOf(line));
                    }
                }
                return streamReply(status, tokens, false, firstTokenMillis, "the stream ended early");
            } catch (IOException e) {
                return streamReply(status, tokens, false, firstTokenMillis, reasonOf(e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return streamReply(status, tokens, false, firstTokenMillis, "the demo ends");
            }
        }
    }

    private static StreamReply streamReply(
            int status, List<String> tokens, boolean complete, long firstTokenMillis, String failure) {
        return new StreamReply(status, tokens, complete, firstTokenMillis, System.currentTimeMillis(), failure);
    }

    private static String tokenOf(String line) {
        return parsed(line.substring(EVENT_PREFIX.length()).getBytes(StandardCharsets.UTF_8))
                .at("/choices/0/delta/content")
                .asText();
    }

    private static JsonNode parsed(byte[] json) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException("An answer is not JSON: " + e.getMessage(), e);
        }
    }

    private static String reasonOf(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
