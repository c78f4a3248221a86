package org.guavathread.router.scenario;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** One {@code guavathreadd} process; its log goes to {@code target/scenario-logs}. */
final class DaemonProcess {

    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private final Process process;

    private DaemonProcess(Process process) {
        this.process = process;
    }

    static DaemonProcess start(String hostId, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                runtimeClassPath(),
                "org.guavathread.router.Guavathreadd"));
        command.addAll(arguments);
        File log = new File("target/scenario-logs", hostId + ".log");
        log.getParentFile().mkdirs();
        return new DaemonProcess(new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start());
    }

    private static String runtimeClassPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !entry.contains("test-classes") && !entry.contains("guavathread-standin"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process with SIGKILL, even if it is paused, and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Ends the process without waiting for it. */
    void end() {
        process.destroyForcibly();
    }

    void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                .inheritIO()
                .start();
        if (kill.waitFor() != 0) {
            throw new IllegalStateException("Signal " + name + " did not reach process " + process.pid() + ".");
        }
    }

    /** Waits for the end of the process and gives its exit code. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS * 2, TimeUnit.SECONDS)) {
            throw new AssertionError("Process " + process.pid() + " has not ended.");
        }
        return process.exitValue();
    }
}
