import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** DRAIN: a worker leaves, and says so in its answers, while the machine is partitioned from the store. */
public final class LeavingWorker extends Case {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long CUT_MILLIS = 5_500;
    private static final long LEAVES_AFTER_MILLIS = 500;
    private static final long SERVES_LONGER_MILLIS = 2_000;
    private static final int WORK_MILLIS = 40;
    private static final int INTERVAL_MILLIS = 12;

    private final Map<String, String> reached = new ConcurrentHashMap<>();
    private final List<String> late = new ArrayList<>();
    private volatile boolean leaving;
    private volatile double toldAt = Double.MAX_VALUE;
    private int lost;
    private int served;

    private LeavingWorker(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new LeavingWorker(arguments[0]));
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                configuration(route(
                        "bin",
                        "non_idempotent",
                        "patio",
                        "\"timeout_ms\":600,\"target_latency_ms\":100,\"max_attempts\":1")));
        Worker leaver = worker("i-1");
        Worker stayer = worker("i-2");
        store.put("servers/i-1", leaver.entry("ready"));
        store.put("servers/i-2", stayer.entry("ready"));
        String ip = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
        Gateway gateway = new Gateway("edge-1", ip, 0, store.address(), ip + ":8367", temporary);
        try {
            gateway.start();
            gateway.awaitReady();
            Thread.sleep(1_000);
            return play(store, leaver, gateway);
        } finally {
            gateway.end();
        }
    }

    private Worker worker(String id) throws IOException {
        return new Worker(id, "patio", "", (request, out, socket) -> {
            reached.put(request.id(), id);
            Thread.sleep(WORK_MILLIS);
            boolean leaves = leaving && id.equals("i-1");
            Worker.write(
                    out,
                    Worker.sealedHead(request) + (leaves ? "Server-Leaving: 1\r\n" : "")
                            + "Content-Length: 4\r\n\r\ndone");
        });
    }

    private boolean play(Store store, Worker leaver, Gateway gateway) throws Exception {
        List<Thread> clients = new ArrayList<>();
        Thread events = new Thread(() -> {
            try {
                if (trouble) {
                    store.cut(true);
                    record("edge-1 is partitioned from the store");
                }
                Thread.sleep(LEAVES_AFTER_MILLIS);
                leaving = true;
                store.put("servers/i-1", leaver.entry("draining"));
                record("the store has accepted that i-1 is draining");
                Thread.sleep(DRAIN_MILLIS + SERVES_LONGER_MILLIS);
                store.delete("servers/i-1");
                leaver.exit();
                record("i-1 has ended");
                Thread.sleep(CUT_MILLIS - LEAVES_AFTER_MILLIS - DRAIN_MILLIS - SERVES_LONGER_MILLIS);
                store.cut(false);
                record("edge-1 reaches the store");
            } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
            }
        });
        events.start();
        for (int i = 0; i < 7_000 / INTERVAL_MILLIS; i++) {
            clients.add(book(gateway, "r" + i));
            Thread.sleep(INTERVAL_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        events.join();
        if (toldAt == Double.MAX_VALUE) {
            throw new IllegalStateException("no answer with Server-Leaving was passed on");
        }
        record(served + " requests served, " + lost + " accepted and lost at i-1, " + late.size() + " sent later than "
                + DRAIN_MILLIS + " ms after " + String.format("%.3f", toldAt) + " reached i-1");
        return late.isEmpty();
    }

    private Thread book(Gateway gateway, String id) {
        String attempt = id + "-" + Long.toHexString(System.nanoTime());
        Thread client = new Thread(() -> {
            double sent = seconds();
            Answer answer = call(
                    gateway.ip,
                    gateway.front(),
                    head("POST", "/bin/1", attempt, 600, "Content-Length: 2\r\n"),
                    "hi".getBytes(),
                    2_000);
            boolean names = answer.text().toLowerCase().contains("\r\nserver-leaving: 1");
            String worker = reached.getOrDefault(attempt, "no worker");
            record(attempt + " sent " + String.format("%.3f", sent) + ", reached " + worker + ", status "
                    + answer.status() + (names ? ", with Server-Leaving" : ""));
            synchronized (this) {
                if (names) {
                    toldAt = Math.min(toldAt, seconds());
                }
                served += answer.status() == 200 ? 1 : 0;
                lost += worker.equals("i-1") && answer.status() != 200 ? 1 : 0;
                if (worker.equals("i-1") && sent > toldAt + DRAIN_MILLIS / 1_000.0) {
                    late.add(attempt);
                }
            }
        });
        client.setDaemon(true);
        client.start();
        return client;
    }
}
