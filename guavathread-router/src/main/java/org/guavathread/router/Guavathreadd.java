package org.guavathread.router;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

import org.guavathread.router.log.Logs;
import org.guavathread.router.settings.DaemonSettings;
import org.guavathread.router.settings.SettingException;
import org.guavathread.router.settings.SettingsParser;

/** Command line of the daemon. */
public final class Guavathreadd {

    /** Version printed by {@code --version}. */
    public static final String VERSION = "0.1.0";

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Guavathreadd() {}

    /**
     * Runs the daemon until SIGTERM or SIGINT.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        DaemonSettings settings = new DaemonSettings();
        try {
            SettingsParser.parse(settings, arguments, System.getenv());
            if (settings.isHelp()) {
                printHelp(settings, System.out);
                System.exit(EXIT_OK);
            }
            if (settings.isVersion()) {
                System.out.println("guavathreadd " + VERSION);
                System.exit(EXIT_OK);
            }
            settings.check();
        } catch (SettingException e) {
            System.err.println("guavathreadd: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        Logs.configure(settings.logLevel());
        System.exit(run(settings));
    }

    private static int run(DaemonSettings settings) {
        CountDownLatch drained = new CountDownLatch(1);
        Daemon daemon;
        try {
            daemon = new Daemon(settings, Clocks.monotonic(), Runtime.getRuntime()::halt);
            daemon.start();
        } catch (RuntimeException e) {
            System.err.println("guavathreadd: " + e.getMessage());
            return EXIT_FAILED;
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.drain();
                            drained.countDown();
                            // Otherwise the exit code would be that of the signal, as if the process had been killed.
                            Runtime.getRuntime().halt(EXIT_OK);
                        },
                        "shutdown"));
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return EXIT_OK;
    }

    private static void printHelp(DaemonSettings settings, PrintStream out) {
        out.println("Usage: guavathreadd --host-id NAME --data-centre NAME --listen-callers IP:PORT");
        out.println("         --listen-peers IP:PORT --listen-admin IP:PORT --config-service URL --host-list URL");
        out.println();
        out.println("Routes requests of callers to engines and plain services. Each option has an environment");
        out.println("variable, for example GUAVATHREAD_HOST_ID for --host-id; an option goes before its variable.");
        out.println();
        SettingsParser.parserOf(settings).printUsage(out);
        out.println();
        out.println("Exit codes: 0 ended after a drain, 1 failed to start, 2 wrong setting, 70 internal error");
    }
}
