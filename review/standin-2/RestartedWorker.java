import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six workers crashes and starts again under its id at another software version. It serves streams at once, and
 * crashes again before it has written to the store. Do its streams go on at the older version?
 */
final class RestartedWorker extends Case {

    private static final int WORKERS = 6;
    private static final int STREAMS = 60;
    private static final int PIECES = 40;
    private static final int PAUSE_MILLIS = 60;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int DOWN_MILLIS = 400;
    private static final int REPORT_MILLIS = 300;
    private static final int LIVES_ON_MILLIS = 200;

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final AtomicInteger joined = new AtomicInteger();
    private final CountDownLatch firstOfNewVersion = new CountDownLatch(1);

    private RestartedWorker(String folder) throws IOException {
        super(folder);
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store(line -> {});
        store.put(
                "op/config",
                configuration(
                        1,
                        tenant("huka270", "\"" + KEY + "\"", "\"uncached_tokens\":200,\"rate_per_s\":470000,\"burst\":470000"),
                        route("sum", "streaming", "resumidor", "\"timeout_ms\":14000,\"target_latency_ms\":900,\"max_attempts\":2,"
                                + "\"session_affinity\":true,\"resumable\":true,\"itl_target_ms\":300")));
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            String id = "i-" + i;
            Worker worker = new Worker(id, "resumidor", "decode", (request, out, socket) -> stream(request, out, id, "v1"));
            worker.reportMillis = REPORT_MILLIS;
            workers.add(worker);
            store.put("servers/" + id, worker.entry("ready"));
        }
        Gateway gateway = new Gateway("edge-curico-1", store.address(), temporary);
        gateways.add(gateway);
        gateway.with("seed_nodes", gateway.control()).start();
        gateway.awaitReady();
        Thread.sleep(3_500);

        Worker first = workers.get(0);
        store.put("servers/i-1", first.entry("ready"));
        long lastWriteMillis = System.currentTimeMillis();
        Thread.sleep(HEARTBEAT_MILLIS / 2);
        if (trouble) {
            first.crash();
            record("i-1, version v1, has crashed");
            Thread.sleep(DOWN_MILLIS);
            Worker again = new Worker("i-1", "resumidor", "decode", "v2", first.port(), (request, out, socket) ->
                    stream(request, out, "i-1", "v2"));
            again.reportMillis = REPORT_MILLIS;
            record("i-1 has started again at version v2; it writes to the store within " + HEARTBEAT_MILLIS + " ms");
            Worker.thread(() -> crashSoon(again));
            Worker.thread(() -> {
                try {
                    // The platform removes the entry of a worker that has been silent for three intervals.
                    sleepUntil(lastWriteMillis + 3 * HEARTBEAT_MILLIS);
                    store.delete("servers/i-1");
                    record("the store has removed the entry of i-1");
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "s-" + i;
            Thread thread = new Thread(() -> request(gateway, id));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record(joined + " of " + STREAMS + " answers hold events of both software versions; two are allowed");
        return joined.get() <= 2;
    }

    private void crashSoon(Worker worker) {
        try {
            if (firstOfNewVersion.await(10, TimeUnit.SECONDS)) {
                Thread.sleep(LIVES_ON_MILLIS);
                worker.crash();
                record("i-1, version v2, has crashed; it had not written to the store yet");
            }
        } catch (InterruptedException | IOException e) {
            record("i-1 could not crash: " + e);
        }
    }

    private void request(Gateway gateway, String id) {
        Answer answer = call(
                gateway,
                head("POST", "/sum/x", id, KEY, 14_000, "X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prefix-Hash: aa" + id.substring(2)
                        + ":100\r\nContent-Length: 2\r\n"),
                "{}".getBytes(),
                15_000);
        boolean isJoined = answer.text().contains("by v1") && answer.text().contains("by v2");
        joined.addAndGet(isJoined ? 1 : 0);
        record(id + ": sent to " + runs.get(id) + "; the client gets status " + answer.status() + ", "
                + (answer.isComplete() ? "complete" : "broken off") + (isJoined ? ", events of v2 and then of v1" : ""));
    }

    private void stream(Worker.Request request, OutputStream out, String worker, String version) throws Exception {
        String after = request.header("Last-Event-Id");
        runs.merge(request.id(), worker + " " + version + (after.isEmpty() ? "" : " after " + after), (a, b) -> a + ", " + b);
        Worker.write(
                out, Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= PIECES; i++) {
            String event = "id: " + i + "\ndata: piece " + i + " by " + version + "\n\n";
            Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            if (version.equals("v2")) {
                firstOfNewVersion.countDown();
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        Worker.write(out, "0\r\n\r\n");
    }

    public static void main(String[] arguments) throws Exception {
        main(new RestartedWorker(arguments[0]));
    }
}
