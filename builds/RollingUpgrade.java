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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** QUOTA: eight gateways are replaced one after the other by another build under load, and back again. */
public final class RollingUpgrade extends Case {

    private static final int HOSTS = 8;
    private static final int RATE = 100;
    private static final int BURST = 50;
    private static final int SLACK = 435;
    private static final int WINDOW_SECONDS = 15;
    private static final long INTERVAL_MILLIS = 20;
    private static final long END_SECONDS = 12;

    private final Path[] builds;
    private final Store store = new Store();
    private final Gateway[] gateways = new Gateway[HOSTS];
    private final List<Double> runs = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean ended;
    private boolean broken;

    private RollingUpgrade(String folder, String first, String second) throws IOException {
        super(folder);
        this.builds = new Path[] {Path.of(first), Path.of(second)};
    }

    public static void main(String[] arguments) throws IOException {
        main(new RollingUpgrade(arguments[0], arguments[1], arguments[2]));
    }

    private void check(String rule, boolean holds, String figures) {
        String line = (holds ? "holds   " : "BROKEN  ") + rule + ": " + figures;
        record(line);
        System.out.println(line);
        broken |= !holds;
    }

    @Override
    boolean holds() throws Exception {
        store.put(
                "op/config",
                configuration(route(
                                "cupo",
                                "non_idempotent",
                                "patio",
                                "\"timeout_ms\":600,\"target_latency_ms\":100,\"max_attempts\":1"))
                        .replace("\"unit\":\"tokens\",\"uncached_tokens\":200", "\"unit\":\"requests\"")
                        .replace("\"rate_per_s\":470000,\"burst\":470000", "\"rate_per_s\":" + RATE + ",\"burst\":" + BURST));
        for (int i = 1; i <= 4; i++) {
            Worker worker = new Worker("q-" + i, "patio", "", this::run);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        String net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        try {
            for (int i = 0; i < HOSTS; i++) {
                gateways[i] = gateway(net, i, builds[0]);
                gateways[i].start();
            }
            for (Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            Thread.sleep(3_000);
            for (int i = 0; i < HOSTS; i++) {
                int host = i;
                daemon(() -> ask(host));
            }
            for (int to : new int[] {1, 0}) {
                replaceAll(net, to);
            }
            ended = true;
            return !broken;
        } finally {
            for (Gateway gateway : gateways) {
                if (gateway != null) {
                    gateway.end();
                }
            }
        }
    }

    private Gateway gateway(String net, int host, Path build) {
        String seeds = net + "1:8367," + net + "2:8367," + net + "3:8367";
        String ip = net + (host + 1);
        return new Gateway("edge-" + (host + 1), ip, 0, store.address(), seeds, temporary, build)
                .with("bounds.quota_slack", String.valueOf(SLACK));
    }

    private void replaceAll(String net, int to) throws Exception {
        double from = seconds();
        int sentBefore = sent.get();
        int servedBefore = served.get();
        for (int i = 0; i < HOSTS; i++) {
            gateways[i].term();
            gateways[i].process.waitFor(END_SECONDS, TimeUnit.SECONDS);
            gateways[i].end();
            gateways[i] = gateway(net, i, builds[to]).with("bootstrap", "false");
            gateways[i].start();
            gateways[i].awaitReady();
            record(gateways[i].name + " runs " + builds[to].getFileName());
            Thread.sleep(1_000);
        }
        Thread.sleep(3_000);
        double until = seconds();
        String way = " to " + builds[to].getFileName();
        int[] worst = mostRunsInAWindow(from, until);
        int allowed = RATE * WINDOW_SECONDS + BURST + SLACK;
        check(
                "QUOTA," + way,
                worst[0] <= allowed,
                "at most " + worst[0] + " ran in " + WINDOW_SECONDS + " s, " + allowed + " may; " + worst[1] + " ran in "
                        + String.format("%.0f", until - from) + " s, " + (sent.get() - sentBefore) + " were sent, "
                        + (served.get() - servedBefore) + " served");
        int seen = 0;
        for (Gateway gateway : gateways) {
            seen += addresses(gateway);
        }
        check("SEEN," + way, seen == HOSTS * HOSTS, seen + " of " + HOSTS * HOSTS + " addresses are named");
    }

    private int[] mostRunsInAWindow(double from, double until) {
        synchronized (runs) {
            List<Double> times = runs.stream().filter(t -> t >= from && t <= until).sorted().toList();
            int most = 0;
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) > WINDOW_SECONDS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return new int[] {most, times.size()};
        }
    }

    private static int addresses(Gateway gateway) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + gateway.ip + ":" + Gateway.DIRECTORY + "/guavathread/resolve"))
                .timeout(Duration.ofSeconds(2))
                .build();
        String body = HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
        return body.split(":" + Gateway.FRONT, -1).length - 1;
    }

    private void run(Worker.Request request, OutputStream out, Socket socket) throws IOException {
        synchronized (runs) {
            runs.add(seconds());
        }
        Worker.write(out, Worker.sealedHead(request) + "Content-Length: 4\r\n\r\ndone");
    }

    /** Asks a host for 50 requests a second; all hosts together are asked for four times the rate. */
    private void ask(int host) throws Exception {
        while (!ended) {
            Gateway gateway = gateways[host];
            String attempt = "u" + host + "-" + Long.toHexString(System.nanoTime());
            daemon(() -> {
                sent.incrementAndGet();
                Answer answer = call(
                        gateway.ip,
                        gateway.front(),
                        head("POST", "/cupo/1", attempt, 600, "Content-Length: 2\r\n"),
                        "hi".getBytes(),
                        2_000);
                served.addAndGet(answer.status() == 200 ? 1 : 0);
            });
            Thread.sleep(INTERVAL_MILLIS);
        }
    }
}
