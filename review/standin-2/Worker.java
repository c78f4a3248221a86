import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A worker: one thread a channel, one request at a time. What it does with a request is up to its script. */
final class Worker {

    record Request(String method, String target, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String id() {
            return header("X-Attempt-Id");
        }
    }

    @FunctionalInterface
    interface Script {
        void run(Request request, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    private final String service;
    private final String stage;
    private final String version;
    private final ServerSocket listener;
    private final Script script;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private int sequence = 1;
    /** Time that the worker takes for its report; a busy one takes some hundred milliseconds. */
    volatile long reportMillis;

    Worker(String id, String service, String stage, Script script) throws IOException {
        this(id, service, stage, "v1", 0, script);
    }

    /** Starts a process of a worker with a software version, at a port or, with 0, at any free one. */
    Worker(String id, String service, String stage, String version, int port, Script script) throws IOException {
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.version = version;
        this.script = script;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 400);
        thread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns what the worker writes into the store. */
    String entry(String state) {
        String engine = stage.isEmpty()
                ? ""
                : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"curico\",\"version\":\"" + version + "\",\"slots\":" + (stage.isEmpty() ? 6 : 64)
                + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence++ + ",\"born\":" + born
                + engine + "}";
    }

    /** Ends the worker as a process that crashes does: its channels are reset. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                answer(request, socket.getOutputStream(), socket);
            }
        } catch (Exception e) {
            // The caller has closed the channel, or the script has.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Request request, OutputStream out, Socket socket) throws Exception {
        String target = request.header("X-Target-Instance");
        if (!target.isEmpty() && !target.equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (request.target().equals("/guavathread/report")) {
            Thread.sleep(reportMillis);
            json(out, "", "{\"stage\":\"" + stage + "\",\"models\":[],\"busy\":false,\"sequence\":0,\"queue_depth\":0,"
                    + "\"running_count\":0,\"kv_used\":0,\"kv_total\":39852,\"handles\":0,\"runs\":[],\"born\":" + born
                    + "}");
        } else if (request.target().equals("/guavathread/hold-take")) {
            json(out, "", "{\"hold\":\"h" + System.nanoTime() + "\"}");
        } else if (request.target().startsWith("/guavathread/")) {
            json(out, "", "{}");
        } else if (request.header("X-Stage").equals("prefill")) {
            json(
                    out,
                    "X-Attempt-Id: " + request.id() + "\r\n",
                    "{\"handle\":\"k" + System.nanoTime() + "\",\"token_count\":10,\"version\":1}");
        } else {
            script.run(request, out, socket);
        }
    }

    static void json(OutputStream out, String headers, String body) throws IOException {
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    /** Writes the whole answer of a request that ran to its end. */
    static void sealed(OutputStream out, Request request, String body) throws IOException {
        write(out, sealedHead(request) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Returns the head of a sealed answer up to the headers that delimit its body. */
    static String sealedHead(Request request) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Response-Seal: seal-" + request.id()
                + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        String[] words = first.split(" ");
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Request(words[0], words[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return null;
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
