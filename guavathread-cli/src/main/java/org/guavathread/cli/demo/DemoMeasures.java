package org.guavathread.cli.demo;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The four service measures of the design, taken from callers and backend servers of the demo. Thread-safe. */
final class DemoMeasures {

    /** Design target for the time to the first token. */
    static final long FIRST_TOKEN_TARGET_MILLIS = 310;

    private static final double MAX_WASTED_SHARE = 0.005;
    private static final double MIN_SERVICE = 0.9;
    private static final double MAX_WRONGFUL_SHARE = 0.001;

    private final Map<String, Double> serviceByWorkspace = new TreeMap<>();
    private int streams;
    private int streamsInTime;
    private int withinRate;
    private int wrongful;
    private int prefills;
    private int wastedPrefills;

    /** Counts a streamed request that was not affected by an injected fault. */
    synchronized void stream(StreamReply reply) {
        streams++;
        boolean inTime = reply.firstTokenMillis() >= 0 && reply.firstTokenMillis() <= FIRST_TOKEN_TARGET_MILLIS;
        streamsInTime += reply.done() && inTime ? 1 : 0;
    }

    /** Counts a request of a workspace that is within its rate; a refusal of it is wrongful. */
    synchronized void withinRate(boolean refused) {
        withinRate++;
        wrongful += refused ? 1 : 0;
    }

    /**
     * Sets the share of its fair amount that a workspace got. The fair amount is the smaller of its demand and its rate
     * over the measured time; a share above 1 counts as 1.
     */
    synchronized void service(String workspace, double gotTokens, double fairTokens) {
        serviceByWorkspace.put(workspace, fairTokens <= 0 ? 1 : Math.min(1, gotTokens / fairTokens));
    }

    /** Sets the number of prefills before the first injected fault, and how many of their results were used. */
    synchronized void prefills(int all, int used) {
        prefills = all;
        wastedPrefills = all - used;
    }

    synchronized int wrongful() {
        return wrongful;
    }

    /**
     * Prints the measures and checks them against their targets. Goodput is printed only: it depends on the load of the
     * machine, and the demo must give the same result on a slow one.
     */
    synchronized void print(DemoReport report) {
        report.title("Measures");
        report.line(String.format(
                Locale.ROOT,
                "goodput: %d of %d streamed language requests had their first token within %d ms (%.1f%%; target 95%%)",
                streamsInTime,
                streams,
                FIRST_TOKEN_TARGET_MILLIS,
                100 * share(streamsInTime, streams)));
        report.expect(
                share(wastedPrefills, prefills) <= MAX_WASTED_SHARE,
                String.format(
                        Locale.ROOT,
                        "wasted prefill: %d of %d prefills before the loss of a host (target at most 0.5%%)",
                        wastedPrefills,
                        prefills));
        Map.Entry<String, Double> worst = serviceByWorkspace.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .orElse(Map.entry("none", 0.0));
        report.expect(
                worst.getValue() >= MIN_SERVICE,
                String.format(
                        Locale.ROOT,
                        "worst-served workspace: %s got %.1f%% of its fair share (target at least 90%%)",
                        worst.getKey(),
                        100 * worst.getValue()));
        report.expect(
                share(wrongful, withinRate) <= MAX_WRONGFUL_SHARE,
                String.format(
                        Locale.ROOT,
                        "wrongful refusals: %d of %d requests within the rate (target at most 0.1%%)",
                        wrongful,
                        withinRate));
    }

    private static double share(int part, int whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
