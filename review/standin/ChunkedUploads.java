import java.io.InputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: a machine is suspended for some seconds while clients send bodies in chunks. */
public final class ChunkedUploads extends Case {

    private static final int CLIENTS = 12;
    private static final int CHUNKS = 150;
    private static final int CHUNK_BYTES = 600;
    private static final int CHUNK_MILLIS = 20;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 13_000;
    private static final long SUSPEND_AFTER_MILLIS = 300;
    private static final long SUSPENDED_MILLIS = 2_500;

    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();

    private ChunkedUploads(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new ChunkedUploads(arguments[0]));
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
                        "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":1000,\"max_attempts\":1")));
        for (int i = 1; i <= 2; i++) {
            Worker worker = new Worker("i-" + i, "patio", "", (request, out, socket) -> {
                runs.add(request.id());
                record(request.id() + " runs with a body of " + request.body().length + " bytes");
                Thread.sleep(20);
                Worker.write(out, Worker.sealedHead(request) + "Content-Length: 4\r\n\r\ndone");
            });
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
            first.signal("CONT");
            first.end();
            second.end();
        }
    }

    private boolean play(Gateway first, Gateway second) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(upload(first, "a" + i, CHUNK_MILLIS));
            clients.add(upload(second, "b" + i, CHUNK_MILLIS));
        }
        if (trouble) {
            Thread.sleep(SUSPEND_AFTER_MILLIS);
            first.signal("STOP");
            record("edge-1 is suspended");
            Thread.sleep(SUSPENDED_MILLIS);
            first.signal("CONT");
            record("edge-1 goes on");
        }
        for (Thread client : clients) {
            client.join();
        }
        int late = unanswered.get();
        int none = unansweredLater.get();
        record(late + " of " + clients.size() + " requests have no answer at their route's timeout, " + none
                + " of these none " + SLACK_MILLIS + " ms later");

        // Not judged: the same without any disturbance, with a body whose chunks arrive together.
        upload(second, "together", 0).join();
        return none * 2 <= late;
    }

    private Thread upload(Gateway gateway, String id, int chunkMillis) {
        String attempt = id + "-" + Long.toHexString(System.nanoTime());
        Thread client = new Thread(() -> {
            String end;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.ip, gateway.front()), 1_000);
                socket.setTcpNoDelay(true);
                OutputStream out = socket.getOutputStream();
                out.write((head("POST", "/bin/1", attempt, DEADLINE_MILLIS, "Transfer-Encoding: chunked\r\n") + "\r\n")
                        .getBytes());
                String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
                if (chunkMillis == 0) {
                    out.write((chunk.repeat(CHUNKS) + "0\r\n\r\n").getBytes());
                } else {
                    for (int i = 0; i < CHUNKS; i++) {
                        out.write(chunk.getBytes());
                        Thread.sleep(chunkMillis);
                    }
                    out.write("0\r\n\r\n".getBytes());
                }
                out.flush();
                record(attempt + " is sent whole to " + gateway.name);
                end = await(socket, id);
            } catch (IOException | InterruptedException e) {
                end = e.toString();
            }
            record(attempt + " to " + gateway.name + ": " + end + (runs.contains(attempt) ? ", has run" : ", not run"));
        });
        client.setDaemon(true);
        client.start();
        return client;
    }

    /** Waits for the answer until the route's timeout, counted from the last byte, and some more. */
    private String await(Socket socket, String id) throws IOException {
        boolean isJudged = !id.equals("together");
        InputStream in = socket.getInputStream();
        try {
            return read(socket, in, TIMEOUT_MILLIS);
        } catch (java.net.SocketTimeoutException e) {
            unanswered.addAndGet(isJudged ? 1 : 0);
        }
        try {
            return read(socket, in, SLACK_MILLIS) + ", after the timeout";
        } catch (java.net.SocketTimeoutException e) {
            unansweredLater.addAndGet(isJudged ? 1 : 0);
            return "no answer " + (TIMEOUT_MILLIS + SLACK_MILLIS) + " ms after the last byte was sent";
        }
    }

    private static String read(Socket socket, InputStream in, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        byte[] buffer = new byte[4_096];
        int n = in.read(buffer);
        return n < 0 ? "closed without an answer" : new String(buffer, 0, n).split("\r\n")[0];
    }
}
