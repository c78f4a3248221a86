import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Workers of two software versions serve side by side. All gateways are killed at the same moment and start again. Clients
 * take their streams up again once the gateways are in touch, while others begin new ones.
 */
final class TakeUps extends Case {

    private static final int GATEWAYS = 3;
    private static final int STREAMS = 24;
    private static final int PIECES = 60;
    private static final int PAUSE_MILLIS = 100;
    private static final int RUNNING_MILLIS = 2_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int TIME_LIMIT_MILLIS = 14_000;
    private static final Pattern ID = Pattern.compile("(?m)^id: ([0-9]+)\n");

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger goneOn = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private volatile boolean broken;

    private TakeUps(String folder) throws IOException {
        super(folder);
    }

    /** What a client has of a stream whose channel broke. */
    private record Part(String id, int lastEvent, long sentAtMillis) {}

    @Override
    boolean holds() throws Exception {
        Store store = new Store(line -> {});
        store.put(
                "op/config",
                configuration(
                        1,
                        tenant("huka270", "\"" + KEY + "\"", "\"uncached_tokens\":200,\"rate_per_s\":470000,\"burst\":470000"),
                        route("sum", "streaming", "resumidor", "\"timeout_ms\":14000,\"target_latency_ms\":900,\"max_attempts\":2,"
                                + "\"session_affinity\":true,\"resumable\":true,\"itl_target_ms\":300")));
        for (int i = 1; i <= 6; i++) {
            String version = i <= 3 ? "v1" : "v2";
            Worker worker = new Worker("i-" + i, "resumidor", "decode", version, 0, (request, out, socket) ->
                    stream(request, out, version));
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

        List<Part> parts = new CopyOnWriteArrayList<>();
        List<Thread> beginning = begin(parts);
        Thread.sleep(RUNNING_MILLIS);
        if (trouble) {
            for (Gateway gateway : gateways) {
                gateway.process.destroyForcibly();
            }
            record("all gateways have been killed");
        }
        broken = true;
        for (Thread thread : beginning) {
            thread.join();
        }
        Thread.sleep(DOWN_MILLIS);
        if (trouble) {
            for (Gateway gateway : gateways) {
                gateway.start();
            }
            record("all gateways start again");
        }
        long inTouchAtMillis = System.currentTimeMillis() + CONTACT_MILLIS;
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        sleepUntil(inTouchAtMillis + 100);
        record("all gateways are ready and in touch; clients take up " + parts.size() + " streams and begin as many");
        takeUp(parts);
        record(goneOn + " of " + takenUp + " streams that clients took up again went on; of " + STREAMS + " new ones " + begun
                + " began");
        if (takenUp.get() < 12) {
            throw new IllegalStateException("too few streams were taken up");
        }
        return 2.0 * goneOn.get() / takenUp.get() >= (double) begun.get() / STREAMS;
    }

    /** Begins streams, whose channels break together. */
    private List<Thread> begin(List<Part> parts) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "s-" + i;
            Gateway gateway = gateways.get(i % GATEWAYS);
            Thread thread = new Thread(() -> {
                long sentAtMillis = System.currentTimeMillis();
                int last = lastEvent(readUntilBroken(gateway, id));
                record(id + ": ran at " + runs.get(id) + ", the channel broke after event " + last);
                if (last > 0 && last < PIECES) {
                    parts.add(new Part(id, last, sentAtMillis));
                }
            });
            threads.add(thread);
            thread.start();
        }
        return threads;
    }

    private String readUntilBroken(Gateway gateway, String id) {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
            socket.setSoTimeout(100);
            socket.getOutputStream().write((requestHead(id, TIME_LIMIT_MILLIS, "") + "\r\n{}").getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4_096];
            while (trouble || !broken) {
                try {
                    int n = in.read(buffer);
                    if (n < 0) {
                        break;
                    }
                    read.write(buffer, 0, n);
                } catch (SocketTimeoutException e) {
                    // No event has arrived; the channel is open.
                }
            }
        } catch (IOException e) {
            // The channel is broken.
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    private static int lastEvent(String text) {
        int last = 0;
        Matcher id = ID.matcher(text);
        while (id.find()) {
            last = Integer.parseInt(id.group(1));
        }
        return last;
    }

    private void takeUp(List<Part> parts) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        int n = 0;
        for (Part part : parts) {
            Gateway gateway = gateways.get(n++ % GATEWAYS);
            threads.add(new Thread(() -> {
                takenUp.incrementAndGet();
                String id = part.id() + "-again";
                long leftMillis = part.sentAtMillis() + TIME_LIMIT_MILLIS - System.currentTimeMillis();
                Answer answer = send(gateway, id, leftMillis, "Last-Event-Id: " + part.lastEvent() + "\r\nResumes: " + part.id()
                        + "\r\n");
                boolean isOn = answer.status() == 200 && lastEvent(answer.text()) > part.lastEvent();
                goneOn.addAndGet(isOn ? 1 : 0);
                record(id + ": taken up after event " + part.lastEvent() + " with " + leftMillis + " ms left; status "
                        + answer.status() + (isOn ? ", goes on at " + runs.get(id) : ", does not go on " + reason(answer)));
            }));
        }
        for (int i = 0; i < STREAMS; i++) {
            String id = "n-" + i;
            Gateway gateway = gateways.get(i % GATEWAYS);
            threads.add(new Thread(() -> {
                Answer answer = send(gateway, id, TIME_LIMIT_MILLIS, "");
                boolean isBegun = answer.status() == 200 && lastEvent(answer.text()) > 0;
                begun.addAndGet(isBegun ? 1 : 0);
                record(id + ": new; status " + answer.status());
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static String reason(Answer answer) {
        int at = answer.text().indexOf("\"code\"");
        return at < 0 ? "" : answer.text().substring(at, Math.min(answer.text().length(), at + 120)).replace('\n', ' ');
    }

    private static String requestHead(String id, long limitMillis, String more) {
        return head(
                "POST",
                "/sum/x",
                id,
                KEY,
                limitMillis,
                "X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prefix-Hash: aa:100\r\n" + more + "Content-Length: 2\r\n");
    }

    private Answer send(Gateway gateway, String id, long limitMillis, String more) {
        return call(gateway, requestHead(id, limitMillis, more), "{}".getBytes(), (int) limitMillis);
    }

    private void stream(Worker.Request request, OutputStream out, String version) throws Exception {
        String after = request.header("Last-Event-Id");
        runs.merge(request.id(), request.header("X-Target-Instance") + " " + version, (a, b) -> a + ", " + b);
        Worker.write(
                out, Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= PIECES; i++) {
            String event = "id: " + i + "\ndata: piece " + i + " by " + version + "\n\n";
            Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(PAUSE_MILLIS);
        }
        Worker.write(out, "0\r\n\r\n");
    }

    public static void main(String[] arguments) throws Exception {
        main(new TakeUps(arguments[0]));
    }
}
