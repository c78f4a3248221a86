package org.guavathread.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A plain service that records each run and answers with what it got:
 * {@code {"requestId":…,"method":…,"path":…,"run":N,"echo":BODY}}. If the request is a JSON object with a field
 * {@code answer}, that field is the whole answer. A field {@code runMillis} replaces the time that the run takes.
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
     * One run.
     *
     * @param method the HTTP method
     * @param path the path
     * @param headers the headers
     * @param body the body as text
     */
    public record Run(String method, String path, Map<String, String> headers, String body) {}

    /**
     * Starts building.
     *
     * @return a builder with an ephemeral port and no delay
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Gives all runs.
     *
     * @return the runs in the order in which they began
     */
    public synchronized List<Run> allRuns() {
        return List.copyOf(runs);
    }

    /**
     * Counts the runs of requests with a header value.
     *
     * @param header name of the header, for example {@code "Idempotency-Key"}
     * @param value its value
     * @return the count; it outlives crashes
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
        JsonNode answer = answerTo(call, number);
        long millis = runMillisOf(call);
        if (millis <= 0) {
            call.answer(200, answer);
        } else {
            later(millis, () -> call.answer(200, answer));
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

    private static JsonNode answerTo(Call call, int run) {
        ObjectNode answer = Call.MAPPER
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
            answer.set("echo", body);
        } catch (IOException e) {
            answer.put("echo", call.text());
        }
        return answer;
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
    void clearMemory() {
        // The record of runs is the test's, not the service's.
    }

    /** Builds a service. */
    public static final class Builder {

        private int port;
        private long runMillis;

        private Builder() {}

        /**
         * Sets the port.
         *
         * @param number the port; 0 takes a free one
         * @return this builder
         */
        public Builder port(int number) {
            this.port = number;
            return this;
        }

        /**
         * Sets the time that each run takes.
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
         * @throws IOException if the port is taken
         */
        public FakePlainService start() throws IOException {
            FakePlainService service = new FakePlainService(this);
            service.startServer();
            return service;
        }
    }
}
