package org.guavathread.router.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that run although they were reported as not sent, and against requests sent twice. */
class RunReportProperties {

    @Property(seed = "7", tries = 60)
    void reportsHoldWhilePeersCloseConnectionsAtAnyMoment(
            @ForAll @Size(min = 5, max = 25) List<@IntRange(min = 0, max = 400) Integer> pausesMicros)
            throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer((head, out, socket) -> {
                    int id = Integer.parseInt(head.substring(head.indexOf("/r") + 2, head.indexOf(" HTTP")));
                    // A third of the requests close the connection before the response, a third after it at a varying
                    // time.
                    if (id % 3 == 1) {
                        return false;
                    }
                    ScriptedPeer.ok(out, "x");
                    LockSupport.parkNanos(pausesMicros.get(id) * 500L);
                    return id % 3 == 0;
                });
                HttpClient client = HttpClient.start(HttpClientSettings.DEFAULTS, System::currentTimeMillis)) {
            List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
            for (int id = 0; id < pausesMicros.size(); id++) {
                HttpRequest request =
                        HttpRequest.post("/r" + id).nonRepeatable().build();
                responses.add(client.send(peer.address(), request));
                LockSupport.parkNanos(pausesMicros.get(id) * 1_000L);
            }
            for (int id = 0; id < responses.size(); id++) {
                check(peer, responses.get(id), id);
            }
            Polling.until(
                    "no slot of the pool is lost",
                    () -> client.connections(peer.address()) == client.idleConnections(peer.address()));
        }
    }

    private static void check(ScriptedPeer peer, CompletableFuture<HttpResponse> response, int id) throws Exception {
        Throwable failure = response.handle((value, cause) -> cause).get(20, TimeUnit.SECONDS);
        long runs = peer.received("/r" + id + " ");
        if (failure == null) {
            assertEquals(1, runs, "answered request " + id);
            return;
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RequestNotSentException) {
            assertEquals(0, runs, "request " + id + " was reported as not sent");
        }
        assertTrue(runs <= 1, "request " + id + " ran " + runs + " times");
    }
}
