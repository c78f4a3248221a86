import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: a burst of requests on kept channels, whose bodies arrive in several segments. */
public final class SegmentedBodies extends Case {

    private static final int CLIENTS = 24;
    private static final int BURSTS = 2;
    private static final long BEFORE_MILLIS = 5_000;
    private static final long BURST_MILLIS = 10_000;
    private static final int BODY_BYTES = 4_380;

    /** Payload of a segment on an Ethernet link. */
    private static final int SEGMENT_BYTES = 1_460;

    /** Time that a segment takes on a link of 100 Mbit/s; segments follow each other within this time. */
    private static final int MAX_GAP_MICROS = 120;

    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 3_000;

    /** Time that a client waits before its next request; in a burst it sends the next one at once. */
    private static final int MAX_THINK_MILLIS = 30;

    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private volatile boolean isBurst;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();

    private SegmentedBodies(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new SegmentedBodies(arguments[0]));
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
                        "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":100,\"max_attempts\":1")));
        for (int i = 1; i <= 4; i++) {
            Worker worker = new Worker("i-" + i, "patio", "", (request, out, socket) -> {
                runs.add(request.id());
                Worker.write(out, Worker.sealedHead(request) + "Content-Length: 4\r\n\r\ndone");
            });
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        String ip = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
        Gateway gateway = new Gateway("edge-1", ip, 0, store.address(), ip + ":8367", temporary);
        try {
            gateway.start();
            gateway.awaitReady();
            Thread.sleep(1_000);
            List<Thread> clients = new ArrayList<>();
            long untilNanos = System.nanoTime() + BURSTS * (BEFORE_MILLIS + BURST_MILLIS) * 1_000_000;
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                Thread thread = new Thread(() -> send(gateway, client, untilNanos));
                clients.add(thread);
                thread.start();
            }
            for (int i = 0; i < BURSTS; i++) {
                recordRate("usual", BEFORE_MILLIS);
                isBurst = trouble;
                recordRate(trouble ? "burst" : "usual", BURST_MILLIS);
                isBurst = false;
            }
            for (Thread client : clients) {
                client.join();
            }
            int late = unanswered.get();
            int none = unansweredLater.get();
            record(sent + " requests sent, " + served + " served; " + late
                    + " had no answer at their route's timeout, " + none + " of these none " + SLACK_MILLIS
                    + " ms later");
            if (served.get() < sent.get() / 2) {
                throw new IllegalStateException("most requests were not served");
            }
            return none * 2 <= late;
        } finally {
            gateway.end();
        }
    }

    private void recordRate(String what, long millis) throws InterruptedException {
        int before = sent.get();
        Thread.sleep(millis);
        record(what + ": " + (sent.get() - before) * 1_000 / millis + " requests a second");
    }

    private void send(Gateway gateway, int client, long untilNanos) {
        Random random = new Random(client);
        Socket socket = null;
        int onChannel = 0;
        while (System.nanoTime() < untilNanos) {
            String id = "r" + client + "-" + Long.toHexString(System.nanoTime());
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(gateway.ip, gateway.front()), 1_000);
                    socket.setTcpNoDelay(true);
                    onChannel = 0;
                }
                onChannel++;
                write(socket.getOutputStream(), id, random);
                sent.incrementAndGet();
                int status = await(socket, id, onChannel);
                if (status == 0) {
                    socket.close();
                    socket = null;
                } else {
                    served.addAndGet(status == 200 ? 1 : 0);
                }
                Thread.sleep(isBurst ? 0 : random.nextInt(MAX_THINK_MILLIS));
            } catch (IOException | InterruptedException e) {
                record(id + ": " + e);
                socket = null;
            }
        }
    }

    private void write(OutputStream out, String id, Random random) throws IOException {
        byte[] head = (head("POST", "/bin/1", id, DEADLINE_MILLIS, "Content-Length: " + BODY_BYTES + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        if (!trouble) {
            byte[] whole = Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, whole, head.length, body.length);
            out.write(whole);
            return;
        }
        out.write(head);
        for (int at = 0; at < body.length; at += SEGMENT_BYTES) {
            long nextNanos = System.nanoTime() + random.nextInt(MAX_GAP_MICROS) * 1_000L;
            while (System.nanoTime() < nextNanos) {
                Thread.onSpinWait();
            }
            out.write(body, at, Math.min(SEGMENT_BYTES, body.length - at));
        }
    }

    /** Returns the status of the answer, or 0 if there is none soon after the route's timeout. */
    private int await(Socket socket, String id, int onChannel) throws IOException {
        try {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            return read(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            unanswered.incrementAndGet();
        }
        try {
            socket.setSoTimeout(SLACK_MILLIS);
            return read(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            unansweredLater.incrementAndGet();
            record(id + ", request " + onChannel + " on its channel: no answer " + (TIMEOUT_MILLIS + SLACK_MILLIS)
                    + " ms after its last byte was sent" + (runs.contains(id) ? ", has run" : ", not run"));
            return 0;
        }
    }

    private static int read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed without an answer");
            }
            head.append((char) next);
        }
        String text = head.toString().toLowerCase();
        int length = text.indexOf("\r\ncontent-length:") + 17;
        in.readNBytes(Integer.parseInt(text.substring(length, text.indexOf('\r', length)).strip()));
        return Integer.parseInt(text.substring(9, 12));
    }
}
