package org.guavathread.cli.demo;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The four service measures of the design, taken from callers and backend servers of the demo. Thread-safe. */
final class DemoMeasures {

    /** Design target for the time to the first token. */
    static final long FIRST_TOKEN_TARGET_MILLIS = 310;

    private static final double MAX_WASTED_SHARE = 0.005;
    private static final double MIN_SERVED_SHARE = 0.9;
    private static final double MAX_WRONGFUL_SHARE = 0.001;

    private final Map<String, Double> servedShareByWorkspace = new TreeMap<>();
    private int streams;
    private int streamsWithinTarget;
    private int requestsWithinRate;
    private int wrongfulRefusals;
    private int prefills;
    private int wastedPrefills;

    /** Counts a streamed request that was not affected by an injected fault. */
    synchronized void countStream(StreamReply reply) {
        streams++;
        boolean withinTarget = reply.firstTokenMillis() >= 0 && reply.firstTokenMillis() <= FIRST_TOKEN_TARGET_MILLIS;
        streamsWithinTarget += reply.complete() && withinTarget ? 1 : 0;
    }

    /** Counts a request of a workspace that is within its rate; a refusal of it is wrongful. */
    synchronized void countWithinRate(boolean refused) {
        requestsWithinRate++;
        wrongfulRefusals += refused ? 1 : 0;
    }

    /**
     * Sets the share of its fair amount that a workspace got; a share above 1 counts as 1. The fair amount is the smaller
     * of its demand and its rate over the measured time. Both amounts have the same unit, tokens or requests.
     */
    synchronized void setServedShare(String workspace, double gotAmount, double fairAmount) {
        servedShareByWorkspace.put(workspace, fairAmount <= 0 ? 1 : Math.min(1, gotAmount / fairAmount));
    }

    /** Sets the number of prefills before the first injected fault, and how many of their results were used. */
    synchronized void setPrefills(int all, int used) {
        prefills = all;
        wastedPrefills = all - used;
    }

    synchronized int wrongfulRefusals() {
        return wrongfulRefusals;
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
                streamsWithinTarget,
                streams,
                FIRST_TOKEN_TARGET_MILLIS,
                100 * share(streamsWithinTarget, streams)));
        report.expect(
                share(wastedPrefills, prefills) <= MAX_WASTED_SHARE,
                String.format(
                        Locale.ROOT,
                        "wasted prefill: %d of %d prefills before the loss of a host (target at most 0.5%%)",
                        wastedPrefills,
                        prefills));
        Map.Entry<String, Double> worst = servedShareByWorkspace.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .orElse(Map.entry("none", 0.0));
        report.expect(
                worst.getValue() >= MIN_SERVED_SHARE,
                String.format(
                        Locale.ROOT,
                        "worst-served workspace: %s got %.1f%% of its fair share (target at least 90%%)",
                        worst.getKey(),
                        100 * worst.getValue()));
        report.expect(
                share(wrongfulRefusals, requestsWithinRate) <= MAX_WRONGFUL_SHARE,
                String.format(
                        Locale.ROOT,
                        "wrongful refusals: %d of %d requests within the rate (target at most 0.1%%)",
                        wrongfulRefusals,
                        requestsWithinRate));
    }

    private static double share(int part, int whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
