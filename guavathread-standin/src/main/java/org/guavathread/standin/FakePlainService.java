package org.guavathread.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A plain service that records each run and by default echoes the request:
 * {@code {"requestId":…,"method":…,"path":…,"run":N,"echo":BODY}}. If the request is a JSON object with a field
 * {@code answer}, the response is the value of that field. A field {@code runMillis} overrides the duration of the run.
 *
 * <p>{@code GET /standin/runs?header=Idempotency-Key&value=k1} counts runs as {@link #runsWith} does.
 */
public final class FakePlainService extends Standin {

    private final long runMillis;
    private final List<Run> runs = new ArrayList<>();

    private FakePlainService(Builder builder) {
        super(builder.port);
        this.runMillis = builder.runMillis;
    }

    /**
     * A run of the service.
     *
     * @param method the HTTP method
     * @param path the path
     * @param headers the headers
     * @param body the body as text
     */
    public record Run(String method, String path, Map<String, String> headers, String body) {}

    /**
     * Creates a builder.
     *
     * @return a builder with an ephemeral port and no delay
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns all runs.
     *
     * @return the runs in the order in which they started
     */
    public synchronized List<Run> allRuns() {
        return List.copyOf(runs);
    }

    /**
     * Counts the runs of requests that have a given header value.
     *
     * @param header name of the header, for example {@code "Idempotency-Key"}
     * @param value its value
     * @return the count; crashes do not reset it
     */
    public synchronized int runsWith(String header, String value) {
        return (int) runs.stream()
                .filter(run -> value.equals(run.headers().get(header)))
                .count();
    }

    @Override
    void run(Call call) throws IOException {
        int number = record(call);
        countRun(call.header(Call.REQUEST_ID));
        JsonNode response = responseTo(call, number);
        long millis = runMillisOf(call);
        if (millis <= 0) {
            call.answer(200, response);
        } else {
            later(millis, () -> call.answer(200, response));
        }
    }

    private long runMillisOf(Call call) {
        try {
            return call.json().path("runMillis").asLong(runMillis);
        } catch (IOException e) {
            return runMillis;
        }
    }

    private synchronized int record(Call call) {
        runs.add(new Run(call.method(), call.path(), call.headers(), call.text()));
        return runs.size();
    }

    private static JsonNode responseTo(Call call, int run) {
        ObjectNode response = Call.MAPPER
                .createObjectNode()
                .put("requestId", call.header(Call.REQUEST_ID))
                .put("method", call.method())
                .put("path", call.path())
                .put("run", run);
        try {
            JsonNode body = call.json();
            if (body.has("answer")) {
                return body.get("answer");
            }
            response.set("echo", body);
        } catch (IOException e) {
            response.put("echo", call.text());
        }
        return response;
    }

    @Override
    boolean control(Call call) {
        if (!call.is("GET /standin/runs")) {
            return false;
        }
        String header = call.query("header", "");
        if (!header.isEmpty()) {
            int count = runsWith(header, call.query("value", ""));
            call.answer(200, Call.MAPPER.createObjectNode().put("runs", count));
            return true;
        }
        ArrayNode list = Call.MAPPER.createArrayNode();
        allRuns().forEach(run -> list.add(Call.MAPPER.valueToTree(run)));
        call.answer(200, list);
        return true;
    }

    @Override
    void clearState() {
        // The recorded runs are kept: they belong to the test, not to the memory of the service.
    }

    /** Builds a service. */
    public static final class Builder {

        private int port;
        private long runMillis;

        private Builder() {}

        /**
         * Sets the port.
         *
         * @param number the port; 0 selects a free port
         * @return this builder
         */
        public Builder port(int number) {
            this.port = number;
            return this;
        }

        /**
         * Sets the duration of each run.
         *
         * @param millis milliseconds
         * @return this builder
         */
        public Builder runMillis(long millis) {
            this.runMillis = millis;
            return this;
        }

        /**
         * Starts the service.
         *
         * @return the running service
         * @throws IOException if the port is in use
         */
        public FakePlainService start() throws IOException {
            FakePlainService service = new FakePlainService(this);
            service.startServer();
            return service;
        }
    }
}
