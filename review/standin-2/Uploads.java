import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload bodies within the published limit while others send small requests. Judges the small ones alone: how many
 * have no final answer half a second after their route's timeout?
 */
final class Uploads extends Case {

    private static final int USUAL_UPLOADERS = Integer.getInteger("usual", 26);
    /** In the burst, 1.9 times as many clients upload. */
    private static final int BURST_UPLOADERS = Integer.getInteger("burst", 49);
    private static final int CALLERS = 40;
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOAD_MILLIS = 3_000;
    private static final int BEFORE_MILLIS = 5_000;
    private static final int BURST_MILLIS = 10_000;
    private static final int AFTER_MILLIS = 10_000;
    private static final int PARTS = 100;
    private static final int WORK_MILLIS = 50;
    private static final int ROUTE_TIMEOUT_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int CALM_MILLIS = 6_000;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean stopped;

    private Uploads(String folder) throws IOException {
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
                        route("alta", "non_idempotent", "patio", "\"timeout_ms\":14000,\"target_latency_ms\":1000,\"max_attempts\":1"),
                        route("cola", "non_idempotent", "patio", "\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
                                + ",\"target_latency_ms\":500,\"max_attempts\":1")));
        for (int i = 1; i <= 6; i++) {
            Worker worker = new Worker("i-" + i, "patio", "", (request, out, socket) -> {
                ran.add(request.id());
                Thread.sleep(WORK_MILLIS);
                Worker.sealed(out, request, "{\"bytes\":" + request.body().length + "}");
            });
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        Gateway gateway = new Gateway("edge-curico-1", store.address(), temporary);
        gateways.add(gateway);
        gateway.with("seed_nodes", gateway.control()).start();
        gateway.awaitReady();
        Thread.sleep(3_500);

        record(CALLERS + " clients send small requests, " + USUAL_UPLOADERS + " upload bodies of " + BODY_BYTES
                + " bytes within " + UPLOAD_MILLIS + " ms each");
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String client = "call-" + i;
            threads.add(start(() -> callOften(gateway, client)));
        }
        for (int i = 0; i < USUAL_UPLOADERS; i++) {
            String client = "up-" + i;
            threads.add(start(() -> upload(gateway, client, Long.MAX_VALUE)));
        }
        Thread.sleep(BEFORE_MILLIS);
        if (trouble) {
            record("a burst: " + BURST_UPLOADERS + " clients upload for " + BURST_MILLIS + " ms");
            long untilMillis = System.currentTimeMillis() + BURST_MILLIS;
            for (int i = USUAL_UPLOADERS; i < BURST_UPLOADERS; i++) {
                String client = "up-" + i;
                threads.add(start(() -> upload(gateway, client, untilMillis)));
            }
        }
        Thread.sleep(BURST_MILLIS);
        record("the burst is over");
        Thread.sleep(AFTER_MILLIS);
        stopped = true;
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        outcomes.forEach((outcome, count) -> record(outcome + ": " + count));
        boolean held = judge("beside the uploads");
        record("the process is " + (gateway.process.isAlive() ? "alive" : "gone") + ", ready: " + gateway.isReady());
        record("no client sends for " + CALM_MILLIS + " ms");
        Thread.sleep(CALM_MILLIS);
        sent.set(0);
        overdue.set(0);
        unanswered.set(0);
        threads.clear();
        for (int i = 0; i < CALLERS; i++) {
            String id = "calm-" + i;
            threads.add(new Thread(() -> small(gateway, id)));
        }
        for (Thread thread : threads) {
            thread.start();
            Thread.sleep(100);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge("after that") && held;
    }

    /** Applies the rule to the small requests: eight or more, and over a quarter of those that outlast their timeout. */
    private boolean judge(String when) {
        record("small requests " + when + ": " + sent + " sent, " + overdue + " without an answer at their route's timeout, "
                + unanswered + " without one " + SLACK_MILLIS + " ms later");
        return unanswered.get() < 8 || 4 * unanswered.get() <= overdue.get();
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void upload(Gateway gateway, String client, long untilMillis) {
        byte[] part = new byte[BODY_BYTES / PARTS];
        for (int i = 0; !stopped && System.currentTimeMillis() < untilMillis; i++) {
            String id = client + "-" + i;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
                socket.setSoTimeout(6_000);
                socket.getOutputStream()
                        .write((head("POST", "/alta/x", id, KEY, 14_000, "Content-Length: " + PARTS * part.length + "\r\n")
                                        + "\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                for (int n = 0; n < PARTS && !stopped; n++) {
                    socket.getOutputStream().write(part);
                    Thread.sleep(UPLOAD_MILLIS / PARTS);
                }
                count("uploads, status " + answerTo(new BufferedInputStream(socket.getInputStream())));
            } catch (IOException e) {
                count("uploads, no answer, " + e.getClass().getSimpleName());
                pause(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void callOften(Gateway gateway, String client) {
        for (int i = 0; !stopped; i++) {
            small(gateway, client + "-" + i);
            pause(200);
        }
    }

    private void small(Gateway gateway, String id) {
        sent.incrementAndGet();
        long sentAtMillis = System.currentTimeMillis();
        Answer answer = call(
                gateway,
                head("POST", "/cola/x", id, KEY, 8_000, "Content-Length: 2\r\n"),
                "{}".getBytes(StandardCharsets.ISO_8859_1),
                ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS);
        long millis = System.currentTimeMillis() - sentAtMillis;
        String outcome = answer.status() == 0 ? "no answer" : "status " + answer.status();
        if (millis >= ROUTE_TIMEOUT_MILLIS) {
            overdue.incrementAndGet();
        }
        if (answer.status() == 0 && millis >= ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) {
            unanswered.incrementAndGet();
        }
        count("small requests, " + outcome + (ran.contains(id) ? ", ran" : ", did not run"));
        record(id + ": " + outcome + " after " + millis + " ms" + (ran.contains(id) ? ", ran" : ""));
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a whole answer; returns its status. */
    private static int answerTo(InputStream in) throws IOException {
        String first = line(in);
        int length = 0;
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        if (in.readNBytes(length).length < length) {
            throw new EOFException();
        }
        return Integer.parseInt(first.substring(9, 12));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    public static void main(String[] arguments) throws Exception {
        main(new Uploads(arguments[0]));
    }
}
