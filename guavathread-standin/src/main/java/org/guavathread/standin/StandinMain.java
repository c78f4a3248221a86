package org.guavathread.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Runs all stand-ins in one process and prints their addresses as a single line of JSON when all are ready:
 * {@code {"prefill":["127.0.0.1:…"],"decode":[…],"service":[…],"configService":"…","hostList":"…","weightStore":"…"}}.
 * Ends on SIGTERM.
 */
public final class StandinMain implements AutoCloseable {

    private static final int INVALID_USAGE = 2;
    private static final int START_FAILED = 1;

    @Option(name = "--prefill", metaVar = "N", usage = "number of prefill engines")
    private int prefill = 1;

    @Option(name = "--decode", metaVar = "N", usage = "number of decode engines")
    private int decode = 1;

    @Option(name = "--service", metaVar = "N", usage = "number of plain services")
    private int service = 1;

    @Option(name = "--memory-pieces", metaVar = "N", usage = "memory pieces of each decode engine")
    private int memoryPieces = 20;

    @Option(name = "--millis-per-token", metaVar = "MS", usage = "time between two output tokens")
    private long millisPerToken = 5;

    @Option(name = "--micros-per-prompt-token", metaVar = "US", usage = "time to prefill one token")
    private long microsPerPromptToken = 50;

    @Option(name = "--run-millis", metaVar = "MS", usage = "time that a call of a plain service takes")
    private long runMillis = 1;

    @Option(name = "--load-lag-millis", metaVar = "MS", usage = "age of the engines' load reports")
    private long loadLagMillis = 100;

    @Option(name = "--models", metaVar = "A,B", usage = "models that the engines have loaded")
    private String models = "resumidor";

    @Option(name = "--config-port", metaVar = "PORT", usage = "port of the configuration service, 0 for any")
    private int configPort;

    @Option(name = "--help", help = true, usage = "print this text")
    private boolean help;

    private final List<Standin> started = new ArrayList<>();

    private StandinMain() {}

    /**
     * Starts the stand-ins and blocks until the process is terminated.
     *
     * @param args the options; {@code --help} prints them
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage() + "; --help prints the options.");
            System.exit(INVALID_USAGE);
        }
        if (main.help) {
            parser.printUsage(System.out);
            return;
        }
        try {
            System.out.println(main.start());
            System.out.flush();
        } catch (IOException e) {
            System.err.println("A stand-in cannot listen: " + e.getMessage());
            System.exit(START_FAILED);
        }
        new CountDownLatch(1).await();
    }

    /** Parses the arguments, for use within the current process. */
    static StandinMain of(String... args) throws CmdLineException {
        StandinMain main = new StandinMain();
        new CmdLineParser(main).parseArgument(args);
        return main;
    }

    /** Starts all stand-ins and returns their addresses as JSON. */
    String start() throws IOException {
        ObjectNode addresses = new ObjectMapper().createObjectNode();
        FakeWeightStore store = FakeWeightStore.builder().start();
        addresses.put("weightStore", register(store));
        ArrayNode prefills = addresses.putArray("prefill");
        for (int i = 0; i < prefill; i++) {
            prefills.add(register(FakePrefillEngine.builder()
                    .models(models.split(","))
                    .loadLagMillis(loadLagMillis)
                    .weightStore(store.address())
                    .microsPerToken(microsPerPromptToken)
                    .start()));
        }
        ArrayNode decodes = addresses.putArray("decode");
        for (int i = 0; i < decode; i++) {
            decodes.add(register(FakeDecodeEngine.builder()
                    .models(models.split(","))
                    .memoryPieces(memoryPieces)
                    .loadLagMillis(loadLagMillis)
                    .weightStore(store.address())
                    .millisPerToken(millisPerToken)
                    .start()));
        }
        ArrayNode services = addresses.putArray("service");
        for (int i = 0; i < service; i++) {
            services.add(
                    register(FakePlainService.builder().runMillis(runMillis).start()));
        }
        addresses.put(
                "configService",
                register(FakeConfigService.builder().port(configPort).start()));
        addresses.put("hostList", register(FakeHostList.builder().start()));
        return addresses.toString();
    }

    private String register(Standin standin) {
        started.add(standin);
        return standin.address();
    }

    @Override
    public void close() {
        started.forEach(Standin::close);
    }
}
