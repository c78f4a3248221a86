package org.guavathread.cli.fleet;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.guavathread.core.sheet.SocketAddressText;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Queries the admin ports of several hosts in parallel.
 *
 * <pre>{@code
 * List<HostAnswer> answers = new AdminClient().fetch(addresses, "/status");
 * }</pre>
 */
final class AdminClient {

    /** A healthy host answers within milliseconds. The admin pages use the same timeout when they wait for a duty. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final int STATUS_OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    List<HostAnswer> fetch(List<SocketAddressText> addresses, String pathAndQuery) {
        List<CompletableFuture<HostAnswer>> pending = addresses.stream()
                .map(address -> fetchOne(address, pathAndQuery))
                .toList();
        return pending.stream().map(CompletableFuture::join).toList();
    }

    /** The timeout of the request covers only the headers; that of the future also covers a body that never ends. */
    private CompletableFuture<HostAnswer> fetchOne(SocketAddressText address, String pathAndQuery) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + pathAndQuery))
                .timeout(TIMEOUT)
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(response -> parsed(address, response))
                .exceptionally(failure -> HostAnswer.failed(address, reasonOf(failure)));
    }

    private static HostAnswer parsed(SocketAddressText address, HttpResponse<byte[]> response) {
        if (response.statusCode() != STATUS_OK) {
            return HostAnswer.failed(address, "answered with status " + response.statusCode());
        }
        try {
            return HostAnswer.of(address, JSON.readTree(response.body()));
        } catch (JsonProcessingException e) {
            return HostAnswer.failed(address, "answered with something that is not JSON; is this an admin port?");
        } catch (IOException e) {
            return HostAnswer.failed(address, "answered with something that cannot be read");
        }
    }

    private static String reasonOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof TimeoutException || cause instanceof HttpTimeoutException) {
            return "no answer within " + TIMEOUT.toSeconds() + " s";
        }
        if (cause instanceof ConnectException) {
            return "no connection; check that its daemon runs and that the address is its admin port";
        }
        return "the call failed: " + (cause.getMessage() == null ? cause : cause.getMessage());
    }
}
