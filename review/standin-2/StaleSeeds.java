import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power; the three seeds do not come back, and the others start with settings that still name them. Within
 * the lag of the seeds the platform names machines that run, in the settings file and by SIGHUP. A tenant then asks for more
 * than its quota at all machines.
 */
final class StaleSeeds extends Case {

    private static final int GATEWAYS = 4;
    private static final int SEED_LAG_MILLIS = 3_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int RATE = 47_000;
    private static final int BURST = 47_000;
    private static final int TOKENS = 3_000;
    private static final int QUOTA_SLACK = 190_000;
    private static final double OVERSHOOT = 0.25;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int DURATION_MILLIS = 24_000;
    private static final int REQUESTS_PER_SECOND = 80;

    private final ConcurrentLinkedQueue<Long> runsAtMillis = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();

    private StaleSeeds(String folder) throws IOException {
        super(folder);
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store(line -> {});
        store.put(
                "op/config",
                configuration(
                        1,
                        tenant("huka270", "\"" + KEY + "\"", "\"uncached_tokens\":" + TOKENS + ",\"rate_per_s\":" + RATE
                                + ",\"burst\":" + BURST),
                        route("cola", "idempotent", "patio", "\"timeout_ms\":2000,\"target_latency_ms\":120,\"max_attempts\":2")));
        for (int i = 1; i <= 6; i++) {
            Worker worker = new Worker("i-" + i, "patio", "", (request, out, socket) -> {
                runsAtMillis.add(System.currentTimeMillis());
                Thread.sleep(20);
                Worker.sealed(out, request, "{}");
            });
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        for (int i = 1; i <= GATEWAYS; i++) {
            gateways.add(new Gateway("edge-curico-" + i, store.address(), temporary).with("bootstrap", "false"));
        }
        String running = String.join(",", gateways.stream().limit(3).map(Gateway::control).toList());
        String gone = "127.9.9.1:7500,127.9.9.2:7500,127.9.9.3:7500";
        for (Gateway gateway : gateways) {
            writeSettings(gateway, trouble ? gone : running);
            gateway.with("seed_nodes", trouble ? gone : running).start();
        }
        record("four machines start again; their settings name " + (trouble ? "three seeds that are gone" : "three of them"));
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        Thread.sleep(SEED_LAG_MILLIS);
        for (Gateway gateway : gateways) {
            writeSettings(gateway, running);
            gateway.signal("HUP");
        }
        record("the settings name three of the four machines, and SIGHUP says so");
        Thread.sleep(CONTACT_MILLIS + 2_000);
        for (Gateway gateway : gateways) {
            record(gateway.name + " names to clients: " + gateway.resolve().replaceAll("(?s).*\r\n\r\n", ""));
        }
        load();
        outcomes.forEach((outcome, count) -> record(outcome + ": " + count));
        return judge();
    }

    /** Writes the settings file as the platform does; the deploy file names no template. */
    private void writeSettings(Gateway gateway, String seeds) throws IOException {
        Path file = temporary.resolve(gateway.name + ".toml");
        Files.writeString(file, "node_name = \"" + gateway.name + "\"\nseed_nodes = [\"" + seeds.replace(",", "\",\"") + "\"]\n");
        gateway.environment("GUAVATHREAD_SETTINGS", file.toString());
    }

    private void load() throws InterruptedException {
        record("the tenant sends " + REQUESTS_PER_SECOND + " requests of " + TOKENS + " tokens a second, quota " + RATE
                + " tokens a second");
        List<Thread> threads = new ArrayList<>();
        long startMillis = System.currentTimeMillis();
        for (int i = 0; i < REQUESTS_PER_SECOND * DURATION_MILLIS / 1_000; i++) {
            sleepUntil(startMillis + i * 1_000L / REQUESTS_PER_SECOND);
            Gateway gateway = gateways.get(i % GATEWAYS);
            String id = "q-" + i;
            Thread thread = new Thread(() -> {
                Answer answer = call(gateway, head("GET", "/cola/" + id, id, KEY, 2_000, ""), new byte[0], 2_500);
                outcomes.computeIfAbsent(gateway.name + ", status " + answer.status(), key -> new AtomicInteger())
                        .incrementAndGet();
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private boolean judge() {
        List<Long> runs = runsAtMillis.stream().sorted().toList();
        long most = 0;
        for (int from = 0, to = 0; to < runs.size(); to++) {
            while (runs.get(to) - runs.get(from) > WINDOW_MILLIS) {
                from++;
            }
            most = Math.max(most, (long) (to - from + 1) * TOKENS);
        }
        double allowed = (RATE * WINDOW_MILLIS / 1_000.0 + BURST) * (1 + OVERSHOOT) + QUOTA_SLACK;
        record("tokens run in some " + WINDOW_MILLIS + " ms: " + most + ", allowed: " + Math.round(allowed));
        return most <= allowed;
    }

    public static void main(String[] arguments) throws Exception {
        main(new StaleSeeds(arguments[0]));
    }
}
