import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** LOST: two machines are stopped in turn while clients that keep an address go on sending streams. */
public final class StreamsAcrossStop extends Case {

    private static final int TOKENS = 150;
    private static final int MAX_TOKENS = 170;
    private static final int TOKEN_MILLIS = 30;
    private static final int FIRST_MILLIS = 200;

    /** An estimate of the client that is far too low. */
    private static final int LOW_HINT = 24;

    private static final int DEADLINE_MILLIS = 14_000;
    private static final long GAP_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 8_000;

    /** Clients may keep an answer of the directory for three times its lifetime of 2 s. */
    private static final long KEPT_MILLIS = 6_000;

    /** Streams sent later than this after SIGTERM are excused by no work that is still running. */
    private static final long EXCUSED_MILLIS = 3_000;

    private final Map<String, Double> runs = new ConcurrentHashMap<>();
    private final Map<String, Double> runEnds = new ConcurrentHashMap<>();
    private final List<String> lost = new ArrayList<>();
    private int complete;
    private int refused;
    private int excused;

    private StreamsAcrossStop(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new StreamsAcrossStop(arguments[0]));
    }

    private void stream(Worker.Request request, java.io.OutputStream out, java.net.Socket socket) throws Exception {
        runs.put(request.id(), seconds());
        Thread.sleep(FIRST_MILLIS);
        Worker.write(
                out,
                Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= TOKENS; i++) {
            Worker.chunk(out, "id: " + i + "\ndata: t" + i + "\n\n");
            Thread.sleep(TOKEN_MILLIS);
        }
        Worker.write(out, "0\r\n\r\n");
        runEnds.put(request.id(), seconds());
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store();
        String terms = "\"timeout_ms\":14000,\"target_latency_ms\":900,\"itl_target_ms\":300,";
        store.put(
                "op/config",
                configuration(
                        route("lot", "streaming", "resumidor", terms + "\"max_attempts\":1,\"resumable\":false"),
                        route("contrato", "streaming", "resumidor", terms + "\"max_attempts\":2,\"resumable\":true")));
        for (int i = 1; i <= 3; i++) {
            Worker worker = new Worker("i-" + i, "resumidor", "decode", this::stream);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        String net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        String seeds = net + "1:8367," + net + "2:8367";
        Gateway first = new Gateway("edge-1", net + "1", 0, store.address(), seeds, temporary);
        Gateway second = new Gateway("edge-2", net + "2", 0, store.address(), seeds, temporary);
        try {
            first.start();
            second.start();
            first.awaitReady();
            second.awaitReady();
            Thread.sleep(1_000);
            return play(first, second);
        } finally {
            first.end();
            second.end();
        }
    }

    private boolean play(Gateway first, Gateway second) throws Exception {
        List<Thread> clients = new ArrayList<>();
        // Answers with sound estimates, from which the gateways learn how long a token takes.
        for (int i = 0; i < 40; i++) {
            Gateway gateway = i % 2 == 0 ? first : second;
            clients.add(send(gateway, "warm" + i, i % 4 < 2 ? "/lot/1" : "/contrato/1", TOKENS, 0));
            Thread.sleep(50);
        }
        for (Thread client : clients) {
            client.join();
        }
        clients.clear();
        record("warm-up: " + complete + " streams complete, " + refused + " refused, " + excused + " cut");
        if (complete < 40) {
            throw new IllegalStateException("the warm-up was not served");
        }

        long startMillis = now();
        long[] termMillis = {startMillis, startMillis + GAP_MILLIS};
        if (trouble) {
            first.term();
            record("SIGTERM to edge-1");
        }
        boolean secondStopped = false;
        for (int i = 0; now() < startMillis + GAP_MILLIS + KEPT_MILLIS; i++) {
            if (trouble && !secondStopped && now() >= termMillis[1]) {
                secondStopped = true;
                second.term();
                record("SIGTERM to edge-2");
            }
            Gateway gateway = i % 2 == 0 ? first : second;
            if (now() < termMillis[i % 2] + KEPT_MILLIS) {
                int hint = i % 8 < 4 ? TOKENS : LOW_HINT;
                clients.add(send(gateway, "s" + i, i % 4 < 2 ? "/lot/1" : "/contrato/1", hint, termMillis[i % 2]));
            }
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        record("in all: " + complete + " streams complete, " + refused + " answered otherwise or not run, " + excused
                + " cut that were sent up to " + EXCUSED_MILLIS + " ms after SIGTERM, " + lost.size()
                + " cut that were sent later");
        lost.forEach(this::record);
        return lost.isEmpty();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Thread send(Gateway gateway, String id, String path, int hint, long termMillis) {
        String attempt = id + "-" + Long.toHexString(System.nanoTime());
        Thread client = new Thread(() -> {
            long sentMillis = now();
            double sent = seconds();
            Answer answer = call(
                    gateway.ip,
                    gateway.front(),
                    head(
                            "POST",
                            path,
                            attempt,
                            DEADLINE_MILLIS,
                            "X-Model: m\r\nX-Token-Count: 300," + MAX_TOKENS + "\r\nX-Length-Hint: " + hint
                                    + "\r\nX-Prefix-Hash: " + attempt.hashCode() + ":300\r\nContent-Length: 2\r\n"),
                    "hi".getBytes(),
                    16_000);
            double ended = seconds();
            Double run = runs.get(attempt);
            String line = attempt + " " + path + " to " + gateway.name + ", estimate " + hint + " tokens, sent "
                    + String.format("%.3f", sent)
                    + (termMillis == 0 ? "" : " (" + (sentMillis - termMillis) + " ms after SIGTERM)") + ", run "
                    + (run == null ? "never" : String.format("from %.3f", run)) + ", status " + answer.status() + ", "
                    + (answer.isComplete() ? "complete" : "not complete: " + answer.end())
                    + String.format(" at %.3f", ended);
            record(line);
            synchronized (this) {
                if (answer.isComplete() && answer.status() == 200) {
                    complete++;
                } else if (answer.isComplete() || run == null) {
                    refused++;
                } else if (sentMillis > termMillis + EXCUSED_MILLIS
                        && sentMillis < termMillis + GRACE_MILLIS + 1_000
                        && ended - sent < DEADLINE_MILLIS / 1_000.0) {
                    lost.add("LOST " + line);
                } else {
                    excused++;
                }
            }
        });
        client.setDaemon(true);
        client.start();
        return client;
    }
}
