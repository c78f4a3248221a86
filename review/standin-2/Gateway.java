import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway, started as a process of its own with the command of the deploy file. */
final class Gateway {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern ZONES = Pattern.compile("\\{\\{#zones}}.*\\{\\{/zones}}");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)}}");
    private static final Random RANDOM = new Random();
    /** The ports are the same on all machines. */
    private static final int[] PORTS = Ports.free(6);
    private static final long READY_TIMEOUT_MILLIS = 25_000;

    final String name;
    /** A loopback address of its own, since the port of the metrics is the same for all. */
    final String ip = "127." + (16 + RANDOM.nextInt(200)) + "." + RANDOM.nextInt(256) + "." + (2 + RANDOM.nextInt(250));

    final int front;
    final int ready;
    final int directory;
    final int control;
    final int peers;
    private final Map<String, String> settings = new TreeMap<>();
    private final Map<String, String> environment = new TreeMap<>();
    private final Path log;
    Process process;

    /**
     * Prepares a gateway at a loopback address of its own.
     *
     * @param store address of the platform's store
     * @param folder receives the output of the process
     */
    Gateway(String name, String store, Path folder) throws IOException {
        this.name = name;
        this.log = folder.resolve(name + ".log");
        front = PORTS[0];
        ready = PORTS[1];
        directory = PORTS[2];
        control = PORTS[3];
        peers = PORTS[4];
        settings.put("node_name", name);
        settings.put("zone", "curico");
        settings.put("limits.cores", "1");
        settings.put("limits.cpu_share", "0.75");
        settings.put("listen.front", ip + ":" + front);
        settings.put("listen.directory", ip + ":" + directory);
        settings.put("listen.ready", ip + ":" + ready);
        settings.put("internal_port_range", peers + "," + PORTS[5]);
        settings.put("seed_nodes", "");
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
        settings.put("bounds.cold_overshoot", "");
        settings.put("bounds.cold_slack", "");
    }

    /** Sets the value of a placeholder. */
    Gateway with(String key, String value) {
        settings.put(key, value);
        return this;
    }

    /** Sets a variable of the process. */
    Gateway environment(String key, String value) {
        environment.put(key, value);
        return this;
    }

    /** Returns the address that the platform lists as a seed. */
    String control() {
        return ip + ":" + control;
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        String command = ZONES.matcher(run.group(1)).replaceAll("curico=maule,talca=maule");
        List<String> words = new ArrayList<>();
        for (String word : command.split(" ")) {
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
        builder.environment().putAll(environment);
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
        return get(ip, ready, "/guavathread/readiness", 1_000).startsWith("HTTP/1.1 200");
    }

    /** Returns the addresses that the gateway names to clients, as text. */
    String resolve() {
        return get(ip, directory, "/guavathread/resolve?name=" + Case.HOST + "&region=maule&zone=curico", 1_000);
    }

    private static String get(String ip, int port, String path, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes());
            return new String(socket.getInputStream().readAllBytes());
        } catch (IOException e) {
            return e.toString();
        }
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void end() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
