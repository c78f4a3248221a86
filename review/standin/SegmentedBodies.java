import java.io.ByteArrayOutputStream;
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
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** UNASKED: a burst of requests with bodies in chunks, which arrive in several segments. */
public final class SegmentedBodies extends Case {

    private static final int CLIENTS = 32;
    private static final int BURSTS = 4;
    private static final long BEFORE_MILLIS = 5_000;
    private static final long BURST_MILLIS = 10_000;
    private static final int CHUNKS = 12;
    private static final int CHUNK_BYTES = 500;

    /** A client writes its request in pieces of this size, as its producer yields them. */
    private static final int PIECE_BYTES = 300;

    private static final int MAX_GAP_MICROS = 60;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 3_000;

    /** Time that a client waits before its next request; in a burst it sends the next one at once. */
    private static final int MAX_THINK_MILLIS = 36;

    private final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private final List<String> changed = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean isBurst;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

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
                byte[] sentBody = bodies.get(request.id());
                if (sentBody != null && !Arrays.equals(sentBody, request.body())) {
                    changed.add("CHANGED " + request.id() + ": sent " + sentBody.length + " bytes, run "
                            + request.body().length + ", the same up to byte "
                            + Arrays.mismatch(sentBody, request.body()));
                }
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
            record(sent + " requests sent, " + served + " served, " + closed + " closed without an answer, " + refused
                    + " refused as malformed, " + unanswered + " without an answer " + SLACK_MILLIS
                    + " ms after their route's timeout, " + changed.size() + " run with another body");
            changed.forEach(this::record);
            if (served.get() < sent.get() / 2) {
                throw new IllegalStateException("most requests were not served");
            }
            return changed.isEmpty();
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
        while (System.nanoTime() < untilNanos) {
            String id = "r" + client + "-" + Long.toHexString(System.nanoTime());
            byte[] body = new byte[CHUNKS * CHUNK_BYTES];
            random.nextBytes(body);
            bodies.put(id, body);
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(gateway.ip, gateway.front()), 1_000);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(TIMEOUT_MILLIS + SLACK_MILLIS);
                }
                sent.incrementAndGet();
                write(socket.getOutputStream(), id, body, random);
                int status = read(socket.getInputStream());
                (status == 200 ? served : refused).incrementAndGet();
                bodies.remove(id);
                Thread.sleep(isBurst ? 0 : random.nextInt(MAX_THINK_MILLIS));
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                socket = close(socket);
            } catch (IOException e) {
                closed.incrementAndGet();
                socket = close(socket);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed in any case.
        }
        return null;
    }

    /** Writes a request, as it is produced or, without the disturbance, in one piece. */
    private void write(OutputStream out, String id, byte[] body, Random random) throws IOException {
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes((head("POST", "/bin/1", id, DEADLINE_MILLIS, "Transfer-Encoding: chunked\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int at = 0; at < body.length; at += CHUNK_BYTES) {
            request.writeBytes((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            request.write(body, at, CHUNK_BYTES);
            request.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        request.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        byte[] bytes = request.toByteArray();
        int piece = trouble ? PIECE_BYTES : bytes.length;
        for (int at = 0; at < bytes.length; at += piece) {
            long nextNanos = System.nanoTime() + (trouble ? random.nextInt(MAX_GAP_MICROS) * 1_000L : 0);
            while (System.nanoTime() < nextNanos) {
                Thread.onSpinWait();
            }
            out.write(bytes, at, Math.min(piece, bytes.length - at));
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
