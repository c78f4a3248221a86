package org.guavathread.router.metrics;

import java.io.IOException;
import java.io.OutputStream;
import java.util.function.DoubleSupplier;

import org.guavathread.core.request.Refusal;
import org.guavathread.core.sheet.Route;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * All metrics of one daemon. Each daemon has a registry of its own, so that several can run in one process. No metric has
 * a label for the workspace, because 14,000 series per metric would exceed the memory that a host may use for control; the
 * admin path {@code /workspaces} has figures for each workspace.
 */
public final class RouterMetrics {

    private static final double[] FIRST_TOKEN_BOUNDS = {0.05, 0.1, 0.2, 0.31, 0.5, 1, 2, 5, 10, 30};
    private static final double[] TOKEN_GAP_BOUNDS = {0.005, 0.01, 0.02, 0.026, 0.05, 0.1, 0.5, 1, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests =
            counter("guavathread_requests_total", "Requests by route, kind and outcome.", "route", "kind", "outcome");
    private final Counter refusals = counter(
            "guavathread_refusals_total", "Refusals by code and by what they say about the run.", "code", "run");
    private final Counter goodput = counter(
            "guavathread_goodput_requests_total",
            "Language requests answered, by whether both latency targets were met.",
            "met");
    private final Counter prefillTokens = counter(
            "guavathread_prefill_tokens_total", "Prompt tokens prefilled, by whether the result was used.", "result");
    private final Counter wrongfulRefusals =
            counter("guavathread_wrongful_refusals_total", "Refusals of requests whose workspace was within its rate.");
    private final Counter sheetRejections =
            counter("guavathread_sheet_rejections_total", "Sheets that were refused as not valid.");
    private final Counter sheetChanges = counter("guavathread_sheet_changes_total", "Sheets taken into force.");
    private final Counter retries =
            counter("guavathread_retries_total", "Requests sent to a second backend server.", "step");
    private final Counter orphans =
            counter("guavathread_orphans_cancelled_total", "Engine requests cancelled because nobody waited for them.");
    private final Histogram firstToken =
            histogram("guavathread_first_token_seconds", "Time to the first token.", FIRST_TOKEN_BOUNDS);
    private final Histogram tokenGap =
            histogram("guavathread_token_gap_seconds", "Time between two tokens of a stream.", TOKEN_GAP_BOUNDS);

    /**
     * Counts a finished request.
     *
     * @param route its route
     * @param outcome for example {@code "answered"} or {@code "refused"}
     */
    public void countRequest(Route route, String outcome) {
        requests.labelValues(route.id().value(), route.kind().sheetName(), outcome)
                .inc();
    }

    /**
     * Counts a refusal.
     *
     * @param refusal the refusal
     */
    public void countRefusal(Refusal refusal) {
        refusals.labelValues(refusal.code().name(), refusal.run().wireName()).inc();
    }

    /** Counts a refusal of a request whose workspace was within its rate. */
    public void countWrongfulRefusal() {
        wrongfulRefusals.inc();
    }

    /**
     * Counts an answered language request.
     *
     * @param metTargets whether both latency targets were met
     */
    public void countGoodput(boolean metTargets) {
        goodput.labelValues(metTargets ? "yes" : "no").inc();
    }

    /**
     * Counts prefilled tokens.
     *
     * @param tokens how many
     * @param used whether a decode engine imported the result
     */
    public void countPrefill(long tokens, boolean used) {
        prefillTokens.labelValues(used ? "used" : "wasted").inc(tokens);
    }

    /** Counts a sheet that was refused. */
    public void countSheetRejection() {
        sheetRejections.inc();
    }

    /** Counts a sheet that came into force. */
    public void countSheetChange() {
        sheetChanges.inc();
    }

    /**
     * Counts a retry at another backend server.
     *
     * @param step for example {@code "engine"} or {@code "reserve"}
     */
    public void countRetry(String step) {
        retries.labelValues(step).inc();
    }

    /** Counts an orphan that was cancelled on an engine. */
    public void countOrphan() {
        orphans.inc();
    }

    /**
     * Records the time to the first token.
     *
     * @param millis milliseconds
     */
    public void observeFirstToken(long millis) {
        firstToken.observe(millis / 1_000.0);
    }

    /**
     * Records the time between two tokens.
     *
     * @param millis milliseconds
     */
    public void observeTokenGap(long millis) {
        tokenGap.observe(millis / 1_000.0);
    }

    /**
     * Adds a gauge whose value is read on each scrape.
     *
     * @param name name of the metric
     * @param help what it means, with its unit
     * @param value reads the value; must be fast and safe from any thread
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Adds a gauge with one label.
     *
     * @param name name of the metric
     * @param help what it means, with its unit
     * @param label name of the label
     * @param values reads the values
     */
    public void labelledGauge(String name, String help, String label, Iterable<LabelledValue> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(
                        callback -> values.forEach(v -> callback.call(v.value().getAsDouble(), v.label())))
                .register(registry);
    }

    /**
     * One value of a metric with a label.
     *
     * @param label value of the label
     * @param value reads the value
     */
    public record LabelledValue(String label, DoubleSupplier value) {}

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @param out where to write
     * @throws IOException if writing fails
     */
    public void writeTo(OutputStream out) throws IOException {
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram histogram(String name, String help, double... bounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(registry);
    }
}
