package org.guavathread.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

import org.guavathread.core.routing.CallKind;
import org.guavathread.core.routing.Priority;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of one daemon. Labels never contain a workspace or a request, which bounds the number of time series. */
public final class GatewayMetrics {

    /** Histogram bucket bounds in seconds, around the response-time targets of 0.1 to 0.9 s. */
    private static final double[] LATENCY_BOUNDS = {0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.6, 0.9, 1.5, 3, 6, 14};

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("guavathread_requests_total")
            .help("Requests by kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry);
    private final Counter prioritised = Counter.builder()
            .name("guavathread_prioritised_requests_total")
            .help("Requests of services with different priorities, by rank (0 is the most urgent) and outcome.")
            .labelNames("priority", "outcome")
            .register(registry);
    private final Counter overtaken = Counter.builder()
            .name("guavathread_overtaken_requests_total")
            .help("Waiting requests that were refused because more urgent ones left no room in time, by rank.")
            .labelNames("priority")
            .register(registry);
    private final Counter sends = Counter.builder()
            .name("guavathread_sends_total")
            .help("Sends to backend servers by step and result.")
            .labelNames("step", "result")
            .register(registry);
    private final Counter stateChanges = Counter.builder()
            .name("guavathread_state_changes_total")
            .help("Changes of the published state by what changed.")
            .labelNames("what")
            .register(registry);
    private final Counter resumed = Counter.builder()
            .name("guavathread_resumed_streams_total")
            .help("Streams that callers took up again, by whether the version that began them was known.")
            .labelNames("origin")
            .register(registry);
    private final Counter serverNotices = Counter.builder()
            .name("guavathread_server_notices_total")
            .help("Answers in which backend servers said that they leave or asked for a pause.")
            .labelNames("notice")
            .register(registry);
    private final Counter permits = Counter.builder()
            .name("guavathread_permits_total")
            .help("Permits that this host asked for, to servers that state a limit or are cold, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Counter unreadableMessages = Counter.builder()
            .name("guavathread_unreadable_messages_total")
            .help("Messages of other hosts that cannot be read, by whether their type is unknown.")
            .labelNames("reason")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("guavathread_first_byte_seconds")
            .help("Time from the arrival of a request to the first byte of its answer.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS)
            .register(registry);
    private final Histogram requestDuration = Histogram.builder()
            .name("guavathread_request_seconds")
            .help("Time from the arrival of a request to the end of its answer.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS)
            .register(registry);

    /**
     * Counts a finished request.
     *
     * @param kind its kind
     * @param outcome the outcome for the caller
     * @param millis time since its arrival in milliseconds
     */
    public void finished(CallKind kind, String outcome, long millis) {
        requests.labelValues(kind.name(), outcome).inc();
        requestDuration.labelValues(kind.name()).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a finished request of a service whose requests have different priorities.
     *
     * @param priority its priority
     * @param outcome the outcome for the caller
     */
    public void finished(Priority priority, String outcome) {
        prioritised.labelValues(priority.toString(), outcome).inc();
    }

    /**
     * Counts a waiting request that was refused for more urgent ones.
     *
     * @param priority its priority
     */
    public void overtaken(Priority priority) {
        overtaken.labelValues(priority.toString()).inc();
    }

    /**
     * Counts a request that was refused before its route was known.
     *
     * @param outcome code of the refusal
     */
    public void unrouted(String outcome) {
        requests.labelValues("none", outcome).inc();
    }

    /**
     * Observes the first byte of an answer.
     *
     * @param kind kind of the request
     * @param millis time since its arrival in milliseconds
     */
    public void firstByte(CallKind kind, long millis) {
        firstByte.labelValues(kind.name()).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a send to a backend server.
     *
     * @param step for example {@code "run"} or {@code "read"}
     * @param result how the send ended
     */
    public void sent(String step, String result) {
        sends.labelValues(step, result).inc();
    }

    /**
     * Counts a permit for a request to a server with a limit.
     *
     * @param isGranted whether the owner of the limit granted it
     */
    public void permit(boolean isGranted) {
        permits.labelValues(isGranted ? "granted" : "refused").inc();
    }

    /**
     * Counts a change of the published state.
     *
     * @param what which kind of change
     */
    public void stateChanged(String what) {
        stateChanges.labelValues(what).inc();
    }

    /**
     * Counts a stream that a caller took up again.
     *
     * @param isOriginKnown whether the software version that began it is known
     */
    public void resumed(boolean isOriginKnown) {
        resumed.labelValues(isOriginKnown ? "known" : "unknown").inc();
    }

    /**
     * Counts what a backend server said of itself in an answer.
     *
     * @param notice for example {@code "leaving"}
     */
    public void serverNotice(String notice) {
        serverNotices.labelValues(notice).inc();
    }

    /**
     * Counts a message of another host that cannot be read.
     *
     * @param reason {@code "unknown"} or {@code "malformed"}
     */
    public void unreadableMessage(String reason) {
        unreadableMessages.labelValues(reason).inc();
    }

    /**
     * Adds a gauge.
     *
     * @param name its name
     * @param help what it shows, with its unit
     * @param value reads the value; called on a network thread
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Returns all metrics as text.
     *
     * @return the metrics in the Prometheus text format
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("The metrics could not be written.", e);
        }
        return out.toByteArray();
    }
}
