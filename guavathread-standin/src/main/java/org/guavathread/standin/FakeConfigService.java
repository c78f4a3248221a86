package org.guavathread.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A configuration service that supports reads and watches. It can be down (it closes connections), stale (it keeps
 * serving the values that it had when it became stale) or slow.
 *
 * <p>Endpoints for tests: {@code PUT /standin/values/NAME?version=V} with the value as body, and {@code POST
 * /standin/mode} with {@code {"down":…,"stale":…,"slowMillis":…}}.
 */
public final class FakeConfigService extends Standin {

    private static final String OCTET_STREAM = "application/octet-stream";

    private final Map<String, Value> values = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private Map<String, Value> staleValues;
    private boolean down;
    private long slowMillis;
    private long reads;

    private FakeConfigService(int port) {
        super(port);
    }

    private record Value(long version, byte[] body) {}

    private record Watch(Call call, String name, long after) {}

    /**
     * Creates a builder.
     *
     * @return a builder with an ephemeral port
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Sets a value and completes the watches that wait for it.
     *
     * @param name its name, for example {@code "sheet"}
     * @param version its version
     * @param body its content
     * @return this service
     */
    public FakeConfigService put(String name, long version, String body) {
        return put(name, version, body.getBytes(StandardCharsets.UTF_8));
    }

    private FakeConfigService put(String name, long version, byte[] body) {
        synchronized (this) {
            values.put(name, new Value(version, body));
        }
        completeWatches();
        return this;
    }

    /**
     * Makes the service unavailable or available again. Becoming unavailable closes the connections of pending watches.
     *
     * @param on whether to close connections instead of responding
     * @return this service
     */
    public FakeConfigService down(boolean on) {
        List<Watch> dropped = new ArrayList<>();
        synchronized (this) {
            down = on;
            if (on) {
                dropped.addAll(watches);
                watches.clear();
            }
        }
        dropped.forEach(watch -> watch.call().drop());
        return this;
    }

    /**
     * Starts or stops serving stale values.
     *
     * @param on whether readers keep seeing the current values despite later changes
     * @return this service
     */
    public FakeConfigService stale(boolean on) {
        synchronized (this) {
            staleValues = on ? new HashMap<>(values) : null;
        }
        completeWatches();
        return this;
    }

    /**
     * Delays each response.
     *
     * @param millis milliseconds
     * @return this service
     */
    public synchronized FakeConfigService slowMillis(long millis) {
        slowMillis = millis;
        return this;
    }

    /**
     * Counts reads and watches.
     *
     * @return the count; a pending watch counts once
     */
    public synchronized long calls() {
        return reads;
    }

    @Override
    void run(Call call) {
        long delayMillis;
        synchronized (this) {
            reads++;
            delayMillis = slowMillis;
        }
        if (delayMillis > 0) {
            later(delayMillis, () -> serve(call));
        } else {
            serve(call);
        }
    }

    private void serve(Call call) {
        if (!call.startsWith("GET /config/")) {
            call.answer(404);
            return;
        }
        String name = call.pathAfter("/config/");
        long after = Long.parseLong(call.query("after", "-1"));
        long waitMillis = Long.parseLong(call.query("wait", "0"));
        Value value;
        synchronized (this) {
            if (down) {
                call.drop();
                return;
            }
            value = visibleValues().get(name);
            if (after >= 0 && waitMillis > 0 && (value == null || value.version() <= after)) {
                Watch watch = new Watch(call, name, after);
                watches.add(watch);
                later(waitMillis, () -> expire(watch));
                return;
            }
        }
        answer(call, value, after);
    }

    private static void answer(Call call, Value value, long after) {
        if (value == null && after < 0) {
            call.answer(404);
        } else if (value == null || value.version() <= after) {
            call.answer(204);
        } else {
            call.answer(200, OCTET_STREAM, value.body(), "Config-Version", Long.toString(value.version()));
        }
    }

    private Map<String, Value> visibleValues() {
        return staleValues == null ? values : staleValues;
    }

    private void expire(Watch watch) {
        synchronized (this) {
            if (!watches.remove(watch)) {
                return;
            }
        }
        watch.call().answer(204);
    }

    private void completeWatches() {
        Map<Watch, Value> ready = new HashMap<>();
        synchronized (this) {
            for (Watch watch : watches) {
                Value value = visibleValues().get(watch.name());
                if (value != null && value.version() > watch.after()) {
                    ready.put(watch, value);
                }
            }
            watches.removeAll(ready.keySet());
        }
        ready.forEach((watch, value) -> answer(watch.call(), value, watch.after()));
    }

    @Override
    boolean control(Call call) throws IOException {
        if (call.startsWith("PUT /standin/values/")) {
            put(call.pathAfter("/standin/values/"), Long.parseLong(call.query("version", "1")), call.body());
        } else if (call.is("POST /standin/mode")) {
            applyMode(call.json());
        } else {
            return false;
        }
        call.answer(200);
        return true;
    }

    private void applyMode(JsonNode mode) {
        if (mode.has("down")) {
            down(mode.get("down").asBoolean());
        }
        if (mode.has("stale")) {
            stale(mode.get("stale").asBoolean());
        }
        if (mode.has("slowMillis")) {
            slowMillis(mode.get("slowMillis").asLong());
        }
    }

    /** Keeps the values, because the real service stores them outside its process. */
    @Override
    synchronized void clearState() {
        watches.clear();
    }

    /** Builds a configuration service. */
    public static final class Builder {

        private int port;

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
         * Starts the service.
         *
         * @return the running service, without values
         * @throws IOException if the port is in use
         */
        public FakeConfigService start() throws IOException {
            FakeConfigService service = new FakeConfigService(port);
            service.startServer();
            return service;
        }
    }
}
