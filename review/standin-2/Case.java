import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, the clock, the configuration, the gateways and a client. */
abstract class Case {

    static final String HOST = "ficu95.example";
    static final String KEY = "3d3zji9n73hh2b9wu3fe";

    private static final ScheduledExecutorService GIVE_UP = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "give up");
        thread.setDaemon(true);
        return thread;
    });

    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAtNanos = System.nanoTime();

    Case(String folder) throws IOException {
        this.temporary = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(Path.of(folder).resolve("record.txt")), true);
        record("disruption: " + (trouble ? "yes" : "no"));
    }

    /** Runs the case; returns whether the rule was kept. */
    abstract boolean holds() throws Exception;

    /** Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Case next) {
        int code = 2;
        try {
            code = next.holds() ? 0 : 1;
            next.record(code == 0 ? "result: the rule held" : "result: the rule was broken");
        } catch (Throwable e) {
            next.record("result: the case could not run: " + e);
            e.printStackTrace();
        }
        for (Gateway gateway : next.gateways) {
            try {
                gateway.end();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run, see " + next.temporary);
        if (code != 2 && System.getenv("KEEP") == null) {
            next.removeTemporary();
        } else {
            System.out.println(next.temporary);
        }
        System.exit(code);
    }

    private void removeTemporary() {
        try (var files = Files.list(temporary)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            record("the temporary folder was not removed: " + e);
        }
        temporary.toFile().delete();
    }

    double seconds() {
        return (System.nanoTime() - startedAtNanos) / 1e9;
    }

    synchronized void record(String line) {
        record.println(String.format("%8.3f  %s", seconds(), line));
    }

    static void sleepUntil(long atMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, atMillis - System.currentTimeMillis()));
    }

    static String route(String name, String type, String service, String terms) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"priority\":1,\"service\":\"" + service + "\",\"public\":false," + terms + "}";
    }

    static String tenant(String name, String keys, String limit) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + keys + "],\"unit\":\"tokens\"," + limit + "}";
    }

    static String configuration(int version, String tenants, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + "{\"name\":\"patio\",\"health_path\":\"/health\",\"max_connections\":100},"
                + "{\"name\":\"resumidor\",\"health_path\":\"/health\",\"max_connections\":360,\"engine\":{\"slots\":64,"
                + "\"kv_capacity_tokens\":39852,\"kv_token_bytes\":35136,\"handle_ttl_s\":0.5,\"hold_ms\":2000}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[" + tenants + "]}";
    }

    /** An answer as the client has read it until the channel ended or the answer was complete. */
    record Answer(String text, boolean isComplete, String end) {

        int status() {
            return text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
        }
    }

    static String head(String method, String path, String id, String key, long deadlineMillis, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + more;
    }

    /** Sends a request on a channel of its own and reads its answer. */
    static Answer call(Gateway gateway, String head, byte[] body, int timeoutMillis) {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
            // A write has no timeout of its own: a client that gives up closes its channel.
            GIVE_UP.schedule(() -> close(socket), timeoutMillis, TimeUnit.MILLISECONDS);
            socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[16 * 1024];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                read.write(buffer, 0, n);
                String text = read.toString(StandardCharsets.ISO_8859_1);
                if (isComplete(text)) {
                    return new Answer(text, true, "complete");
                }
            }
            return new Answer(read.toString(StandardCharsets.ISO_8859_1), false, "the channel was closed");
        } catch (IOException e) {
            return new Answer(read.toString(StandardCharsets.ISO_8859_1), false, e.toString());
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static boolean isComplete(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        String head = text.substring(0, end).toLowerCase();
        int length = head.indexOf("\r\ncontent-length:");
        if (length >= 0) {
            String rest = head.substring(length + 17);
            int lineEnd = rest.indexOf('\r');
            return text.length() - end - 4
                    >= Integer.parseInt((lineEnd < 0 ? rest : rest.substring(0, lineEnd)).strip());
        }
        return head.contains("transfer-encoding: chunked") && text.endsWith("\r\n0\r\n\r\n");
    }
}
