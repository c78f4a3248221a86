import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients name models whose names hold letters outside ASCII, in UTF-8. Does the worker get the name that they sent? */
final class ModelName extends Case {

    private static final String[] PLAIN = {"acta-es", "resumen-2"};
    private static final String[] ACCENTED = {"rese\u00f1a-2", "or\u00e7amento"};
    private static final int REQUESTS = 20;

    private final Map<String, String> ranWith = new ConcurrentHashMap<>();

    private ModelName(String folder) throws IOException {
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
                        route("sum", "streaming", "resumidor", "\"timeout_ms\":14000,\"target_latency_ms\":900,\"max_attempts\":2,"
                                + "\"session_affinity\":true,\"resumable\":true,\"itl_target_ms\":300")));
        for (int i = 1; i <= 2; i++) {
            Worker worker = new Worker("i-" + i, "resumidor", "decode", this::stream);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        Gateway gateway = new Gateway("edge-curico-1", store.address(), temporary);
        gateways.add(gateway);
        gateway.with("seed_nodes", gateway.control()).start();
        gateway.awaitReady();
        Thread.sleep(3_500);

        String[] models = trouble ? ACCENTED : PLAIN;
        int changed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "s-" + i;
            // The client in Case writes each character as one byte.
            String sent = onWire(models[i % models.length]);
            Answer answer = call(
                    gateway,
                    head("POST", "/sum/x", id, KEY, 14_000, "X-Model: " + sent
                            + "\r\nX-Token-Count: 100,20\r\nX-Prefix-Hash: aa" + i + ":100\r\nContent-Length: 2\r\n"),
                    "{}".getBytes(),
                    15_000);
            String got = ranWith.get(id);
            changed += got != null && !got.equals(sent) ? 1 : 0;
            record(id + ": the client sent X-Model " + bytes(sent) + ", " + (got == null ? "no worker ran it" : "a worker ran it"
                    + " with " + bytes(got)) + "; the client gets status " + answer.status());
        }
        record(changed + " of " + REQUESTS + " requests ran with another X-Model than the client's");
        return changed == 0;
    }

    private void stream(Worker.Request request, OutputStream out, Object socket) throws IOException {
        ranWith.put(request.id(), request.header("X-Model"));
        String event = "id: 1\ndata: x\n\n";
        Worker.write(out, Worker.sealedHead(request) + "Content-Type: text/event-stream\r\nContent-Length: " + event.length()
                + "\r\n\r\n" + event);
    }

    private static String onWire(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static String bytes(String text) {
        StringBuilder shown = new StringBuilder();
        for (byte each : text.getBytes(StandardCharsets.ISO_8859_1)) {
            shown.append(each > ' ' ? String.valueOf((char) each) : String.format("\\x%02x", each));
        }
        return shown.toString();
    }

    public static void main(String[] arguments) throws Exception {
        main(new ModelName(arguments[0]));
    }
}
