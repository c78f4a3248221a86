package org.guavathread.bench.overhead;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.guavathread.bench.Scenario;
import org.guavathread.router.log.Logs;

/** Measures a plain call directly and through the router, one at a time and at 500 per second, in the same run. */
public final class OverheadScenario implements Scenario {

    private static final int WARM_UP_CALLS = 3_000;
    private static final int SINGLE_CALLS = 3_000;
    private static final int CALLS_PER_SECOND = 500;
    private static final int PACED_SECONDS = 10;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1_000_000.0;
    private static final long MAX_RECORDABLE_NANOS = 60 * NANOS_PER_SECOND;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String summary() {
        return "latency that the router adds to a plain call, with three daemons in this process";
    }

    @Override
    public List<Map<String, Object>> run(long seed) {
        List<Map<String, Object>> rows = new ArrayList<>();
        Logs.configure("warn");
        try (LocalFleet fleet = LocalFleet.start(3)) {
            HttpRequest direct = request(fleet.serviceUri(), null);
            HttpRequest routed = request(fleet.routedUri(), LocalFleet.API_KEY);
            rows.add(heapAtRest());
            measureSequential(direct, WARM_UP_CALLS);
            measureSequential(routed, WARM_UP_CALLS);
            rows.addAll(compare(
                    "one_at_a_time", measureSequential(direct, SINGLE_CALLS), measureSequential(routed, SINGLE_CALLS)));
            measurePaced(direct);
            measurePaced(routed);
            rows.addAll(compare("500_a_second", measurePaced(direct), measurePaced(routed)));
        } catch (IOException e) {
            throw new UncheckedIOException("The local fleet cannot start: " + e.getMessage(), e);
        }
        return rows;
    }

    private static HttpRequest request(URI uri, String apiKey) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri);
        if (apiKey != null) {
            builder.header("Authorization", "Bearer " + apiKey);
        }
        return builder.build();
    }

    /** Three daemons and the stand-ins share this heap, so a daemon alone takes less. */
    private static Map<String, Object> heapAtRest() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("what", "heap_of_three_daemons_and_stand_ins");
        row.put("megabytes", (runtime.totalMemory() - runtime.freeMemory()) / 1_000_000);
        return row;
    }

    private Histogram measureSequential(HttpRequest request, int calls) {
        Histogram histogram = new Histogram(MAX_RECORDABLE_NANOS, 3);
        for (int i = 0; i < calls; i++) {
            long start = System.nanoTime();
            check(client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                    .join());
            histogram.recordValue(System.nanoTime() - start);
        }
        return histogram;
    }

    /** Measures from the time at which a call was due, so that a delay also counts for the calls queued behind it. */
    private Histogram measurePaced(HttpRequest request) {
        Histogram histogram = new ConcurrentHistogram(MAX_RECORDABLE_NANOS, 3);
        List<CompletableFuture<Void>> calls = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < CALLS_PER_SECOND * PACED_SECONDS; i++) {
            long due = start + i * NANOS_PER_SECOND / CALLS_PER_SECOND;
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            calls.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                    .thenAccept(answer -> {
                        check(answer);
                        histogram.recordValue(Math.max(0, System.nanoTime() - due));
                    }));
        }
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
        return histogram;
    }

    private static void check(HttpResponse<byte[]> answer) {
        if (answer.statusCode() != 200) {
            throw new IllegalStateException("A call was answered with status " + answer.statusCode() + ": "
                    + new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    private static List<Map<String, Object>> compare(String load, Histogram direct, Histogram routed) {
        return List.of(
                row(load, "p50", direct.getValueAtPercentile(50), routed.getValueAtPercentile(50)),
                row(load, "p99", direct.getValueAtPercentile(99), routed.getValueAtPercentile(99)));
    }

    private static Map<String, Object> row(String load, String percentile, long directNanos, long routedNanos) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("load", load);
        row.put("percentile", percentile);
        row.put("direct_millis", millis(directNanos));
        row.put("routed_millis", millis(routedNanos));
        row.put("added_millis", millis(routedNanos - directNanos));
        row.put("ratio", Math.round(100.0 * routedNanos / directNanos) / 100.0);
        return row;
    }

    private static double millis(long nanos) {
        return Math.round(nanos / NANOS_PER_MILLI * 1_000) / 1_000.0;
    }
}
