import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The open channels of all gateways to the store go silent for good, new ones work. Just afterwards the operator takes a key
 * away. Once the gateways are in touch again, requests with that key must not run any more.
 */
final class SilentWatch extends Case {

    private static final int CONTACT_MILLIS = 3_000;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int GATEWAYS = 3;
    private static final String WITHDRAWN = "xd9dnn2ctnfzs989anu6";

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final List<String> broken = new CopyOnWriteArrayList<>();

    private SilentWatch(String folder) throws IOException {
        super(folder);
    }

    private static String config(int version, String keys) {
        return configuration(
                version,
                tenant("huka270", keys, "\"uncached_tokens\":200,\"rate_per_s\":470000,\"burst\":470000"),
                route("alta", "non_idempotent", "patio", "\"timeout_ms\":2000,\"target_latency_ms\":120,\"max_attempts\":1"));
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store(this::record);
        store.put("op/config", config(7, "\"" + KEY + "\",\"" + WITHDRAWN + "\""));
        for (int i = 1; i <= 3; i++) {
            Worker worker = new Worker("i-" + i, "patio", "", (request, out, socket) -> {
                ran.add(request.id());
                record("worker runs " + request.id());
                Thread.sleep(20);
                Worker.sealed(out, request, "{}");
            });
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        for (int i = 1; i <= GATEWAYS; i++) {
            gateways.add(new Gateway("edge-curico-" + i, store.address(), temporary));
        }
        String seeds = String.join(",", gateways.stream().map(Gateway::control).toList());
        for (Gateway gateway : gateways) {
            gateway.with("seed_nodes", seeds).start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        Thread.sleep(4_000);
        for (Gateway gateway : gateways) {
            record(gateway.name + " names to clients: " + gateway.resolve().replaceAll("(?s).*\r\n\r\n", ""));
        }

        // An ordinary change: a further worker registers.
        Worker fourth = new Worker("i-4", "patio", "", (request, out, socket) -> {
            ran.add(request.id());
            record("worker runs " + request.id());
            Worker.sealed(out, request, "{}");
        });
        store.put("servers/i-4", fourth.entry("ready"));
        record("a worker has registered");
        Thread.sleep(600);
        if (trouble) {
            store.silenceOpenChannels();
            record("the open channels to the store have gone silent; new ones work");
        }
        long silentAtMillis = System.currentTimeMillis();
        Thread.sleep(100);
        store.put("op/config", config(9, "\"" + KEY + "\""));
        long ackMillis = System.currentTimeMillis();
        record("the store has acknowledged version 9, without the key " + WITHDRAWN);
        long inForceMillis = Math.max(ackMillis + CONFIG_APPLY_MILLIS, silentAtMillis + CONTACT_MILLIS);
        sleepUntil(inForceMillis + 50);
        record("version 9 must be in force at all gateways, which are in touch");
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            for (Gateway gateway : gateways) {
                String id = gateway.name + "-late-" + i;
                Thread thread = new Thread(() -> send(gateway, id));
                threads.add(thread);
                thread.start();
            }
            Thread.sleep(100);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record(broken.size() + " of " + threads.size() + " requests ran with the withdrawn key");
        return broken.isEmpty();
    }

    private void send(Gateway gateway, String id) {
        record("client sends " + id);
        Answer answer = call(
                gateway, head("POST", "/alta/x", id, WITHDRAWN, 1_500, "Content-Length: 2\r\n"), "{}".getBytes(), 2_000);
        record("client gets " + answer.status() + " for " + id);
        if (ran.contains(id)) {
            broken.add(id);
        }
    }

    public static void main(String[] arguments) throws Exception {
        main(new SilentWatch(arguments[0]));
    }
}
