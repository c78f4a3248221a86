import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway, started as a process of its own with the command of the deploy file. */
final class Gateway {

    static final int FRONT = 8360;
    static final int DIRECTORY = 8364;
    static final int READY = 8365;
    static final int CONTROL = 8367;

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)}}");
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    final String name;
    final String ip;
    private final Map<String, String> settings = new TreeMap<>();
    private final Path log;
    private final int port;
    Process process;

    /** Ports are the usual ones plus an offset, since a loopback address serves all tests of a machine. */
    Gateway(String name, String ip, int offset, String store, String seeds, Path folder) {
        this.name = name;
        this.ip = ip;
        this.port = offset;
        this.log = folder.resolve(name + ".log");
        settings.put("node_name", name);
        settings.put("zone", "curico");
        settings.put("listen.front", ip + ":" + (FRONT + offset));
        settings.put("listen.directory", ip + ":" + (DIRECTORY + offset));
        settings.put("listen.ready", ip + ":" + (READY + offset));
        settings.put("internal_port_range", (7500 + offset) + "," + (7515 + offset));
        settings.put("seed_nodes", seeds);
        settings.put("platform.address", store);
        settings.put("platform.history_s", "20");
        settings.put("bootstrap", "true");
        settings.put("heartbeat_ms", "1200");
        settings.put("bounds.retry_budget_ratio", "0.2");
        settings.put("bounds.retry_budget_extra", "54");
        settings.put("bounds.budget_window_s", "10");
        settings.put("bounds.quota_slack", "190000");
        settings.put("bounds.grace_s", "8");
        settings.put("bounds.config_apply_ms", "2000");
    }

    int front() {
        return FRONT + port;
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        List<String> words = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            words.add(PLACEHOLDER.matcher(word).replaceAll(m -> {
                String value = settings.get(m.group(1));
                if (value == null) {
                    throw new IllegalStateException("no value for " + m.group(1));
                }
                return Matcher.quoteReplacement(value);
            }));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        settings.put("bootstrap", "false");
    }

    void awaitReady() throws Exception {
        long until = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < until) {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " ended with " + process.exitValue() + ", see " + log);
            }
            if (isReady()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException(name + " is not ready, see " + log);
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, READY + port), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /guavathread/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            return new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void term() {
        process.destroy();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    void end() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
