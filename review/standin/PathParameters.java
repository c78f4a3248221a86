import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** UNASKED: clients send paths that hold a parameter, as RFC 3986 allows. */
public final class PathParameters extends Case {

    private static final List<String> PATHS = List.of(
            "/bin/slot;jsessionid=7c1/load/1",
            "/bin/slot;jsessionid=7c1",
            "/bin/slot;jsessionid=7c1/load/2?truck=9");

    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private PathParameters(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        main(new PathParameters(arguments[0]));
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
        Worker worker = new Worker("i-1", "patio", "", (request, out, socket) -> {
            runs.put(request.id(), request.target());
            Thread.sleep(20);
            Worker.write(out, Worker.sealedHead(request) + "Content-Length: 4\r\n\r\ndone");
        });
        store.put("servers/i-1", worker.entry("ready"));
        String ip = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
        Gateway gateway = new Gateway("edge-1", ip, 0, store.address(), ip + ":8367", temporary);
        try {
            gateway.start();
            gateway.awaitReady();
            Thread.sleep(1_000);
            int changed = 0;
            int ran = 0;
            for (String each : PATHS) {
                String path = trouble ? each : each.replace(";jsessionid=7c1", ";slot=7c1");
                String attempt = "r" + Long.toHexString(System.nanoTime());
                Answer answer = call(
                        ip,
                        gateway.front(),
                        head("POST", path, attempt, 600, "Content-Length: 2\r\n"),
                        "hi".getBytes(),
                        2_000);
                String run = runs.getOrDefault(attempt, "");
                record("sent " + path + ", run " + (run.isEmpty() ? "never" : run) + ", status " + answer.status());
                ran += run.isEmpty() ? 0 : 1;
                changed += run.isEmpty() || run.equals(path) ? 0 : 1;
            }
            if (!trouble && ran == 0) {
                throw new IllegalStateException("no request was served");
            }
            record(changed + " of " + ran + " requests ran with another path than the client's");
            return changed == 0;
        } finally {
            gateway.end();
        }
    }
}
