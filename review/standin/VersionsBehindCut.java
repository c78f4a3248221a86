import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** ORDER: a worker starts again under its id at a newer software version while the machine is partitioned from the store. */
public final class VersionsBehindCut extends Case {

    private static final int EVENTS = 130;
    private static final int EVENT_MILLIS = 30;
    private static final int FIRST_MILLIS = 150;
    private static final int INTERVAL_MILLIS = 200;
    private static final long CUT_MILLIS = 5_500;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVES_LONGER_MILLIS = 400;
    private static final long START_MILLIS = 300;

    /** A sound worker falls silent once, after this time, for a second or so. */
    private static final long SILENT_AFTER_MILLIS = 3_200;

    private static final long SILENT_MILLIS = 1_800;
    private static final int ALLOWED_STREAMS = 2;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d) (\\S+)\n\n");

    private final List<String> mixed = new ArrayList<>();
    private volatile long silentUntilMillis;
    private int complete;
    private int broken;

    private VersionsBehindCut(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new VersionsBehindCut(arguments[0]));
    }

    private Worker start(String id, String version, int port) throws IOException {
        return new Worker(id, "resumidor", "decode", version, port, (request, out, socket) -> {
            String after = request.header("Last-Event-Id");
            int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
            record(request.id() + " runs at " + id + ", version " + version + ", from event " + first);
            stream(request, out, version, id, first);
        });
    }

    private void stream(Worker.Request request, OutputStream out, String version, String id, int first)
            throws Exception {
        Thread.sleep(FIRST_MILLIS);
        Worker.write(
                out,
                Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = first; i <= EVENTS; i++) {
            Worker.chunk(out, "id: " + i + "\ndata: " + version + " " + id + "\n\n");
            long silentMillis = id.equals("i-2") ? silentUntilMillis - System.currentTimeMillis() : 0;
            Thread.sleep(Math.max(EVENT_MILLIS, silentMillis));
        }
        Worker.write(out, "0\r\n\r\n");
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                configuration(route(
                        "contrato",
                        "streaming",
                        "resumidor",
                        "\"timeout_ms\":14000,\"target_latency_ms\":900,\"itl_target_ms\":300,\"max_attempts\":2,"
                                + "\"resumable\":true")));
        Worker first = start("i-1", "v1", 0);
        Worker second = start("i-2", "v1", 0);
        store.put("servers/i-1", first.entry("ready"));
        store.put("servers/i-2", second.entry("ready"));
        String ip = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
        Gateway gateway = new Gateway("edge-1", ip, 0, store.address(), ip + ":8367", temporary);
        try {
            gateway.start();
            gateway.awaitReady();
            Thread.sleep(1_000);
            return play(store, first, gateway);
        } finally {
            gateway.end();
        }
    }

    private boolean play(Store store, Worker replaced, Gateway gateway) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            if (i == 20) {
                if (trouble) {
                    store.cut(true);
                    record("edge-1 is partitioned from the store");
                }
                threads.add(replace(store, replaced));
                threads.add(later(SILENT_AFTER_MILLIS, () -> {
                    silentUntilMillis = System.currentTimeMillis() + SILENT_MILLIS;
                    record("i-2 falls silent for " + SILENT_MILLIS + " ms");
                }));
                threads.add(later(CUT_MILLIS, () -> {
                    store.cut(false);
                    record("edge-1 reaches the store");
                }));
            }
            threads.add(read(gateway, "s" + i));
            Thread.sleep(INTERVAL_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record(complete + " streams complete, " + broken + " broken off or refused, " + mixed.size()
                + " with events from two software versions; " + ALLOWED_STREAMS + " are allowed");
        mixed.forEach(this::record);
        return mixed.size() <= ALLOWED_STREAMS;
    }

    /** Drains and ends a worker, and starts it again under its id and address at the newer version. */
    private Thread replace(Store store, Worker old) {
        return later(0, () -> {
            store.put("servers/" + old.id, old.entry("draining"));
            record(old.id + " is draining");
            Thread.sleep(DRAIN_MILLIS + SERVES_LONGER_MILLIS);
            store.delete("servers/" + old.id);
            old.exit();
            record(old.id + " has ended");
            Thread.sleep(START_MILLIS);
            Worker next = start(old.id, "v2", old.port());
            store.put("servers/" + next.id, next.entry("ready"));
            record(next.id + " serves again, version v2");
        });
    }

    private interface Action {
        void run() throws Exception;
    }

    private static Thread later(long millis, Action action) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(millis);
                action.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.start();
        return thread;
    }

    private Thread read(Gateway gateway, String id) {
        String attempt = id + "-" + Long.toHexString(System.nanoTime());
        Thread client = new Thread(() -> {
            Answer answer = call(
                    gateway.ip,
                    gateway.front(),
                    head(
                            "POST",
                            "/contrato/1",
                            attempt,
                            14_000,
                            "X-Model: m\r\nX-Token-Count: 300,170\r\nX-Length-Hint: " + EVENTS + "\r\nX-Prefix-Hash: "
                                    + Integer.toHexString(attempt.hashCode()) + ":300\r\nContent-Length: 2\r\n"),
                    "hi".getBytes(),
                    15_000);
            StringBuilder pieces = new StringBuilder();
            String last = "";
            boolean isMixed = false;
            Matcher event = EVENT.matcher(answer.text());
            while (event.find()) {
                String from = event.group(2) + " at " + event.group(3);
                if (!from.equals(last)) {
                    isMixed |= !last.isEmpty() && !last.startsWith(event.group(2));
                    pieces.append(" ").append(from).append(" from event ").append(event.group(1)).append(";");
                    last = from;
                }
            }
            String line = attempt + ": status " + answer.status() + ", "
                    + (answer.isComplete() ? "complete" : "not complete") + "," + pieces;
            record(line);
            synchronized (this) {
                complete += answer.isComplete() && answer.status() == 200 ? 1 : 0;
                broken += answer.isComplete() && answer.status() == 200 ? 0 : 1;
                if (isMixed) {
                    mixed.add("TWO VERSIONS " + line);
                }
            }
        });
        client.setDaemon(true);
        client.start();
        return client;
    }
}
