package org.guavathread.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.guavathread.bench.capacity.CapacityScenario;
import org.guavathread.bench.claims.ClaimsScenario;
import org.guavathread.bench.configuration.ConfigurationScenario;
import org.guavathread.bench.limits.LimitsScenario;
import org.guavathread.bench.overhead.OverheadScenario;
import org.guavathread.bench.placement.PlacementScenario;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Command line of the bench.
 *
 * <pre>{@code
 * bin/guavathread-bench limits --json --seed 7
 * }</pre>
 */
public final class GuavathreadBench {

    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Argument(metaVar = "SCENARIO", usage = "measurement to run")
    private String scenarioName;

    @Option(name = "--json", usage = "print one JSON object a line instead of a table")
    private boolean json;

    @Option(name = "--seed", metaVar = "N", usage = "seed of all random numbers (default: 1)")
    private long seed = 1;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    private GuavathreadBench() {}

    /** Lists the measurements; each has a package of its own. */
    private static List<Scenario> scenarios() {
        List<Scenario> scenarios = new ArrayList<>();
        scenarios.add(new ClaimsScenario());
        scenarios.add(new PlacementScenario());
        scenarios.add(new ConfigurationScenario());
        scenarios.add(new LimitsScenario());
        scenarios.add(new CapacityScenario());
        scenarios.add(new OverheadScenario());
        return scenarios;
    }

    /**
     * Runs the bench and exits; 0 means that the measurement ran, 2 that the command line was wrong.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new GuavathreadBench().run(arguments));
    }

    private int run(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println("guavathread-bench: " + e.getMessage() + "; see --help.");
            return EXIT_USAGE;
        }
        if (help) {
            printHelp(parser, System.out);
            return EXIT_OK;
        }
        for (Scenario scenario : scenarios()) {
            if (scenario.name().equals(scenarioName)) {
                print(scenario.run(seed));
                return EXIT_OK;
            }
        }
        System.err.println("guavathread-bench: \"" + scenarioName + "\" is no measurement; see --help.");
        return EXIT_USAGE;
    }

    private static void printHelp(CmdLineParser parser, PrintStream out) {
        out.println("Usage: guavathread-bench SCENARIO [--json] [--seed N]");
        parser.printUsage(out);
        out.println("Measurements:");
        scenarios().forEach(s -> out.printf("  %-14s %s%n", s.name(), s.summary()));
        out.println("Exit codes: 0 the measurement ran, 2 wrong usage");
    }

    private void print(List<Map<String, Object>> rows) {
        for (Map<String, Object> row : rows) {
            System.out.println(json ? jsonLine(row) : textLine(row));
        }
    }

    private static String jsonLine(Map<String, Object> row) {
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A result row has a value that JSON cannot represent: " + row, e);
        }
    }

    private static String textLine(Map<String, Object> row) {
        StringBuilder line = new StringBuilder();
        row.forEach((key, value) -> line.append(key).append('=').append(value).append("  "));
        return line.toString().stripTrailing();
    }
}
