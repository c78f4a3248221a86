package org.guavathread.cli.demo;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The four measures of the design, as callers and backend servers of the demo see them. Thread-safe. */
final class DemoMeasures {

    /** Target of the design for the first token, in milliseconds. */
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

    /** Counts a streamed request that no fault struck. */
    synchronized void stream(StreamReply reply) {
        streams++;
        boolean inTime = reply.firstTokenMillis() >= 0 && reply.firstTokenMillis() <= FIRST_TOKEN_TARGET_MILLIS;
        streamsInTime += reply.done() && inTime ? 1 : 0;
    }

    /** Counts a request of a workspace that is within its rate. */
    synchronized void withinRate(boolean refused) {
        withinRate++;
        wrongful += refused ? 1 : 0;
    }

    /** Sets what a workspace got of the smaller of its demand and its rate over a time; more than that counts as 1. */
    synchronized void service(String workspace, double gotTokens, double fairTokens) {
        serviceByWorkspace.put(workspace, fairTokens <= 0 ? 1 : Math.min(1, gotTokens / fairTokens));
    }

    /** Sets the prefills of the time without faults. */
    synchronized void prefills(int all, int used) {
        prefills = all;
        wastedPrefills = all - used;
    }

    synchronized int wrongful() {
        return wrongful;
    }

    /**
     * Prints the measures. The first one is no expectation: it depends on how busy the machine is, and the demo has to
     * give the same verdict on a slow one.
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
