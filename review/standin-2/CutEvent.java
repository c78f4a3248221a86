import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A faulty worker ends some of its streams in the middle of an event, with the last chunk; the other worker is sound. Does
 * the client get such a stream as a complete one?
 */
final class CutEvent extends Case {

    private static final int PIECES = 10;
    private static final int REQUESTS = 320;
    private static final int CLIENTS = 8;
    /** The faulty worker spoils one in so many of its answers. */
    private static final int SPOILED_ONE_IN = 40;
    private static final Pattern PIECE = Pattern.compile("(?m)^id: ?([0-9]+)\n" + "data: piece-[0-9]+-end\n\n");

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();

    private CutEvent(String folder) throws IOException {
        super(folder);
    }

    @Override
    boolean holds() throws Exception {
        Store store = new Store(line -> {});
        store.put(
                "op/config",
                configuration(
                        1,
                        tenant("huka270", "\"" + KEY + "\"", "\"uncached_tokens\":200,\"rate_per_s\":470000,\"burst\":470000"),
                        route("lote", "streaming", "resumidor", "\"timeout_ms\":14000,\"target_latency_ms\":900,\"max_attempts\":1,"
                                + "\"session_affinity\":true,\"resumable\":false,\"itl_target_ms\":300"),
                        route("sum", "streaming", "resumidor", "\"timeout_ms\":14000,\"target_latency_ms\":900,\"max_attempts\":2,"
                                + "\"session_affinity\":true,\"resumable\":true,\"itl_target_ms\":300")));
        Worker faulty = new Worker("i-1", "resumidor", "decode", (request, out, socket) -> {
            boolean isCut = trouble && answers.incrementAndGet() % SPOILED_ONE_IN == 0;
            spoiled.addAndGet(isCut ? 1 : 0);
            stream(request, out, isCut);
        });
        Worker sound = new Worker("i-2", "resumidor", "decode", (request, out, socket) -> stream(request, out, false));
        for (Worker worker : List.of(faulty, sound)) {
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        Gateway gateway = new Gateway("edge-curico-1", store.address(), temporary);
        gateways.add(gateway);
        gateway.with("seed_nodes", gateway.control()).start();
        gateway.awaitReady();
        Thread.sleep(3_500);

        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread thread = new Thread(() -> {
                for (int n = client; n < REQUESTS; n += CLIENTS) {
                    request(gateway, n);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record("the faulty worker ended " + spoiled + " of its " + answers + " streams within an event");
        record(broken + " of " + REQUESTS + " streams ended as complete before their last piece");
        return broken.get() == 0;
    }

    private void request(Gateway gateway, int n) {
        String path = n % 2 == 0 ? "/lote/x" : "/sum/x";
        String id = "s-" + n;
        Answer answer = call(
                gateway,
                head("POST", path, id, KEY, 14_000, "X-Model: m\r\nX-Token-Count: 100,20\r\nX-Prefix-Hash: aa" + n
                        + ":100\r\nContent-Length: 2\r\n"),
                "{}".getBytes(),
                15_000);
        int last = 0;
        Matcher piece = PIECE.matcher(withoutChunks(answer.text()));
        while (piece.find()) {
            last = Integer.parseInt(piece.group(1));
        }
        boolean isBroken = answer.status() == 200 && answer.isComplete() && last < PIECES;
        broken.addAndGet(isBroken ? 1 : 0);
        record(id + " " + path + ": sent to " + runs.get(id) + "; the client gets status " + answer.status() + ", last whole"
                + " piece " + last + " of " + PIECES + ", " + (answer.isComplete() ? "ended as complete" : "broken off")
                + (isBroken ? " (rule broken)" : ""));
    }

    /** Streams the pieces after the one that the request names; a faulty run ends within the sixth piece. */
    private void stream(Worker.Request request, OutputStream out, boolean isCut) throws Exception {
        runs.merge(request.id(), request.header("X-Target-Instance"), (a, b) -> a + ", then " + b);
        String after = request.header("Last-Event-Id");
        Worker.write(
                out, Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= PIECES; i++) {
            String event = "id: " + i + "\ndata: piece-" + i + "-end\n\n";
            if (isCut && i == 6) {
                chunk(out, event.substring(0, event.length() / 2));
                break;
            }
            chunk(out, event);
            Thread.sleep(20);
        }
        Worker.write(out, "0\r\n\r\n");
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        Worker.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns the body of a chunked answer, or what has arrived of it. */
    private static String withoutChunks(String answer) {
        StringBuilder body = new StringBuilder();
        int at = answer.indexOf("\r\n\r\n") + 4;
        while (at >= 4 && at < answer.length()) {
            int end = answer.indexOf("\r\n", at);
            if (end < 0) {
                break;
            }
            int size = Integer.parseInt(answer.substring(at, end).strip(), 16);
            int from = Math.min(answer.length(), end + 2);
            body.append(answer, from, Math.min(answer.length(), from + size));
            if (size == 0) {
                break;
            }
            at = from + size + 2;
        }
        return body.toString();
    }

    public static void main(String[] arguments) throws Exception {
        main(new CutEvent(arguments[0]));
    }
}
