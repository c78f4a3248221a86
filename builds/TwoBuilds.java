import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Two gateways of two builds: whether they know each other, keep one quota, and pass on what only one of them was told. */
public final class TwoBuilds extends Case {

    private static final int QUOTA_SECONDS = 15;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final int SENDERS = 40;
    private static final int RATE = 100;
    private static final int BURST = 50;
    private static final int SLACK = 435;
    private static final int MAX_RUNS = RATE * QUOTA_SECONDS + BURST + SLACK;
    private static final int LEAVING_REQUESTS = 60;
    private static final long SPREAD_MILLIS = 2_000;
    private static final int STREAMS = 12;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 30;
    private static final int TAKEN_UP_AFTER_EVENTS = 8;
    private static final int ALLOWED_MIXED = 2;
    private static final String SECOND_KEY = "8f2kqv90y6m1x4c7u5tz";
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d) ");

    private final Path[] builds;
    private final Store[] stores = {new Store(), new Store()};
    private final Gateway[] gateways = new Gateway[2];
    private final AtomicInteger ran = new AtomicInteger();
    private final List<String> broken = new ArrayList<>();
    private volatile String leaving = "";
    private final AtomicInteger atLeaving = new AtomicInteger();

    private TwoBuilds(String folder, String first, String second) throws IOException {
        super(folder);
        this.builds = new Path[] {Path.of(first), Path.of(second)};
    }

    public static void main(String[] arguments) throws IOException {
        main(new TwoBuilds(arguments[0], arguments[1], arguments[2]));
    }

    private void check(String rule, boolean holds, String figures) {
        String line = (holds ? "holds   " : "BROKEN  ") + rule + ": " + figures;
        record(line);
        System.out.println(line);
        if (!holds) {
            broken.add(line);
        }
    }

    private void put(String key, String value) {
        for (Store store : stores) {
            store.put(key, value);
        }
    }

    private static String settings(int version, String keys) {
        String plain = "\"timeout_ms\":600,\"target_latency_ms\":100,\"max_attempts\":1";
        String stream = "\"timeout_ms\":14000,\"target_latency_ms\":900,\"itl_target_ms\":300,\"max_attempts\":2,"
                + "\"resumable\":true";
        return configuration(
                        route("bin", "non_idempotent", "patio", plain),
                        route("cupo", "non_idempotent", "cuota", plain),
                        route("contrato", "streaming", "resumidor", stream))
                .replace("\"version\":7", "\"version\":" + version)
                .replace(
                        "\"services\":[",
                        "\"services\":[{\"name\":\"cuota\",\"health_path\":\"/health\",\"max_connections\":100},")
                .replace("\"" + KEY + "\"", keys)
                .replace(
                        "\"tenants\":[",
                        "\"tenants\":[{\"name\":\"limo12\",\"api_keys\":[\"limited\"],\"unit\":\"requests\","
                                + "\"uncached_tokens\":1,\"rate_per_s\":" + RATE + ",\"burst\":" + BURST + "},");
    }

    @Override
    boolean holds() throws Exception {
        put("op/config", settings(7, "\"" + KEY + "\""));
        for (int i = 1; i <= 4; i++) {
            start(new Worker("q-" + i, "cuota", "", this::quota));
            start(new Worker("p-" + i, "patio", "", plain("p-" + i)));
        }
        for (int i = 1; i <= 4; i++) {
            String version = i <= 2 ? "v1" : "v2";
            start(new Worker("s-" + i, "resumidor", "decode", version, 0, (request, out, socket) ->
                    stream(request, out, version)));
        }
        String net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        String seeds = net + "1:8367," + net + "2:8367";
        try {
            for (int i = 0; i < 2; i++) {
                String name = "edge-" + (i + 1);
                String ip = net + (i + 1);
                gateways[i] = new Gateway(name, ip, 0, stores[i].address(), seeds, temporary, builds[i])
                        .with("bounds.quota_slack", String.valueOf(SLACK));
                gateways[i].start();
            }
            for (Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            Thread.sleep(3_000);
            for (int i = 0; i < 2; i++) {
                seen(i);
            }
            rate();
            for (int i = 0; i < 2; i++) {
                origins(i);
                departure(i);
                state(i);
            }
            return broken.isEmpty();
        } finally {
            for (Gateway gateway : gateways) {
                if (gateway != null) {
                    gateway.end();
                }
            }
        }
    }

    private void start(Worker worker) {
        put("servers/" + worker.id, worker.entry("ready"));
    }

    private String way(int from) {
        return "from " + gateways[from].name + " (" + builds[from].getFileName() + ") to " + gateways[1 - from].name
                + " (" + builds[1 - from].getFileName() + ")";
    }

    /** Whether the other gateway tells callers of this one. */
    private void seen(int from) throws Exception {
        Gateway reader = gateways[1 - from];
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + reader.ip + ":" + Gateway.DIRECTORY + "/guavathread/resolve"))
                .timeout(Duration.ofSeconds(2))
                .build();
        String body = HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
        check("SEEN, " + way(from), body.contains(gateways[from].ip + ":"), body.replaceAll("\\s+", " "));
    }

    private void quota(Worker.Request request, OutputStream out, Socket socket) throws IOException {
        ran.incrementAndGet();
        Worker.write(out, Worker.sealedHead(request) + "Content-Length: 4\r\n\r\ndone");
    }

    /** Both gateways are asked for twice the rate of a workspace. */
    private void rate() throws Exception {
        int[] served = new int[2];
        List<Thread> senders = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 2; i++) {
            int at = i;
            for (int s = 0; s < SENDERS; s++) {
                int offset = s;
                senders.add(daemon(() -> {
                    for (int n = offset; n < QUOTA_SECONDS * REQUESTS_PER_SECOND; n += SENDERS) {
                        long dueNanos = startNanos + n * (1_000_000_000L / REQUESTS_PER_SECOND);
                        Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                        if (call(at, "/cupo/1", "q" + n, "limited", "").status() == 200) {
                            synchronized (served) {
                                served[at]++;
                            }
                        }
                    }
                }));
            }
        }
        for (Thread sender : senders) {
            sender.join();
        }
        double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
        int allowed = MAX_RUNS + (int) (RATE * Math.max(0, tookSeconds - QUOTA_SECONDS));
        check(
                "QUOTA",
                ran.get() <= allowed,
                ran.get() + " ran in " + String.format("%.1f", tookSeconds) + " s, " + served[0] + " and " + served[1]
                        + " by the two, at most " + allowed + " may");
        check("QUOTA, not too few", ran.get() >= RATE * QUOTA_SECONDS / 2, ran.get() + " ran");
    }

    private Worker.Script plain(String id) {
        return (request, out, socket) -> {
            boolean leaves = id.equals(leaving);
            if (leaves) {
                atLeaving.incrementAndGet();
            }
            Worker.write(
                    out,
                    Worker.sealedHead(request) + (leaves ? "Server-Leaving: 1\r\n" : "")
                            + "Content-Length: 4\r\n\r\ndone");
        };
    }

    /** A worker says in its answers to one gateway that it leaves; the store still lists it as ready. */
    private void departure(int from) throws Exception {
        leaving = "p-" + (from + 1);
        atLeaving.set(0);
        for (int n = 0; n < LEAVING_REQUESTS; n++) {
            call(from, "/bin/1", "l" + n, KEY, "");
        }
        int told = atLeaving.getAndSet(0);
        Thread.sleep(SPREAD_MILLIS);
        int served = 0;
        for (int n = 0; n < LEAVING_REQUESTS; n++) {
            served += call(1 - from, "/bin/1", "m" + n, KEY, "").status() == 200 ? 1 : 0;
        }
        leaving = "";
        check(
                "DEPARTURE, " + way(from),
                told > 0 && atLeaving.get() == 0,
                told + " answers with the notice at the first, " + atLeaving.get() + " requests from the second reached "
                        + "the worker, " + served + " of " + LEAVING_REQUESTS + " served");
    }

    /** One gateway is cut off from its store when a key is added and the other one withdrawn. */
    private void state(int from) throws Exception {
        Store cut = stores[1 - from];
        cut.cut(true);
        Thread.sleep(1_000);
        put("op/config", settings(8 + 2 * from, "\"" + SECOND_KEY + "\""));
        Thread.sleep(2 * SPREAD_MILLIS);
        int added = call(1 - from, "/bin/1", "k1", SECOND_KEY, "").status();
        int withdrawn = call(1 - from, "/bin/1", "k2", KEY, "").status();
        check(
                "STATE, " + way(from),
                added == 200 && withdrawn == 401,
                "the second answers the added key with " + added + ", the withdrawn one with " + withdrawn);
        cut.cut(false);
        put("op/config", settings(9 + 2 * from, "\"" + KEY + "\""));
        Thread.sleep(2 * SPREAD_MILLIS);
    }

    private static void stream(Worker.Request request, OutputStream out, String version) throws Exception {
        String after = request.header("Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        Worker.write(
                out,
                Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = first; i <= EVENTS; i++) {
            Worker.chunk(out, "id: " + i + "\ndata: " + version + " token\n\n");
            Thread.sleep(EVENT_MILLIS);
        }
        Worker.write(out, "0\r\n\r\n");
    }

    /** Streams begin at one gateway, are broken off by their callers and taken up at the other one. */
    private void origins(int from) throws Exception {
        int[] counts = new int[3];
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "s" + from + i + "-" + Long.toHexString(System.nanoTime());
            callers.add(daemon(() -> {
                int readMillis = 3 * EVENT_MILLIS + TAKEN_UP_AFTER_EVENTS * EVENT_MILLIS;
                String began = streamCall(from, id, "", readMillis).text();
                Matcher event = EVENT.matcher(began);
                String version = "";
                int last = 0;
                while (event.find()) {
                    last = Integer.parseInt(event.group(1));
                    version = event.group(2);
                }
                if (last == 0) {
                    return;
                }
                Thread.sleep(300);
                String more = "Resumes: " + id + "\r\nLast-Event-Id: " + last + "\r\n";
                Answer answer = streamCall(1 - from, id + "r", more, 8_000);
                record(id + " read to event " + last + " of " + version + ", then status " + answer.status());
                Matcher next = EVENT.matcher(answer.text());
                boolean goesOn = next.find();
                synchronized (counts) {
                    counts[0]++;
                    counts[1] += goesOn ? 1 : 0;
                    counts[2] += goesOn && !next.group(2).equals(version) ? 1 : 0;
                }
            }));
            Thread.sleep(150);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        String figures = counts[0] + " streams began, " + counts[1] + " went on, " + counts[2] + " at another version";
        check("ORDER, " + way(from), counts[2] <= ALLOWED_MIXED, figures);
        check("LOST, streams taken up, " + way(from), counts[0] > 0 && 2 * counts[1] >= counts[0], figures);
    }

    private Answer streamCall(int at, String id, String more, int readMillis) {
        return readFor(
                at,
                head(
                        "POST",
                        "/contrato/1",
                        id,
                        14_000,
                        "X-Model: m\r\nX-Token-Count: 300,170\r\nX-Length-Hint: " + EVENTS + "\r\nX-Prefix-Hash: "
                                + Integer.toHexString(id.hashCode()) + ":300\r\nContent-Length: 2\r\n" + more),
                readMillis);
    }

    /** Sends a request and reads its answer for a time, or until it is complete. */
    private Answer readFor(int at, String head, int millis) {
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket(gateways[at].ip, gateways[at].front())) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write((head + "\r\nhi").getBytes());
            byte[] buffer = new byte[16 * 1024];
            long untilNanos = 0;
            for (int n = socket.getInputStream().read(buffer); n >= 0; n = socket.getInputStream().read(buffer)) {
                text.append(new String(buffer, 0, n));
                long now = System.nanoTime();
                untilNanos = untilNanos == 0 ? now + millis * 1_000_000L : untilNanos;
                if (now > untilNanos || text.indexOf("\r\n0\r\n\r\n") >= 0) {
                    break;
                }
            }
            return new Answer(text.toString(), true, "read");
        } catch (IOException e) {
            return new Answer(text.toString(), false, e.toString());
        }
    }

    private Answer call(int at, String path, String id, String key, String more) {
        String attempt = id + "-" + Long.toHexString(System.nanoTime());
        String head = head("POST", path, attempt, 600, "Content-Length: 2\r\n" + more).replace(KEY, key);
        return call(gateways[at].ip, gateways[at].front(), head, "hi".getBytes(), 2_000);
    }
}
