package org.guavathread.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * The platform's host list; changes become visible after a lag.
 *
 * <p>Endpoint for tests: {@code PUT /standin/hosts} with {@code [{"id":…,"state":…,"address":…}]} replaces the list.
 */
public final class FakeHostList extends Standin {

    private final long lagMillis;
    private Map<String, Entry> current = new TreeMap<>();
    private Map<String, Entry> visible = new TreeMap<>();

    private FakeHostList(Builder builder) {
        super(builder.port);
        this.lagMillis = builder.lagMillis;
    }

    private record Entry(String state, String address) {}

    /**
     * Creates a builder.
     *
     * @return a builder with an ephemeral port and no lag
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Adds or changes a host.
     *
     * @param id the host
     * @param state {@code "live"} or {@code "leaving"}; any other text makes the list invalid
     * @param address its address
     * @return this list
     */
    public FakeHostList put(String id, String state, String address) {
        synchronized (this) {
            current.put(id, new Entry(state, address));
        }
        publish();
        return this;
    }

    /**
     * Removes a host.
     *
     * @param id the host
     * @return this list
     */
    public FakeHostList remove(String id) {
        synchronized (this) {
            current.remove(id);
        }
        publish();
        return this;
    }

    private void publish() {
        Map<String, Entry> copy;
        synchronized (this) {
            copy = new TreeMap<>(current);
        }
        if (lagMillis <= 0) {
            makeVisible(copy);
        } else {
            later(lagMillis, () -> makeVisible(copy));
        }
    }

    private synchronized void makeVisible(Map<String, Entry> copy) {
        visible = copy;
    }

    @Override
    void run(Call call) {
        if (!call.is("GET /hosts")) {
            call.answer(404);
            return;
        }
        Map<String, Entry> entries;
        synchronized (this) {
            entries = visible;
        }
        ArrayNode list = Call.MAPPER.createArrayNode();
        entries.forEach((id, entry) ->
                list.addObject().put("id", id).put("state", entry.state()).put("address", entry.address()));
        call.answer(200, list);
    }

    @Override
    boolean control(Call call) throws IOException {
        if (!call.is("PUT /standin/hosts")) {
            return false;
        }
        Map<String, Entry> next = new TreeMap<>();
        for (JsonNode host : call.json()) {
            next.put(
                    host.path("id").asText(),
                    new Entry(host.path("state").asText(), host.path("address").asText()));
        }
        synchronized (this) {
            current = next;
        }
        publish();
        call.answer(200);
        return true;
    }

    /** Keeps the list, because it represents the state of the platform, not of a process. */
    @Override
    void clearState() {
        // Nothing to clear.
    }

    /** Builds a host list. */
    public static final class Builder {

        private int port;
        private long lagMillis;

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
         * Sets the delay after which a change becomes visible.
         *
         * @param millis milliseconds
         * @return this builder
         */
        public Builder lagMillis(long millis) {
            this.lagMillis = millis;
            return this;
        }

        /**
         * Starts the host list service.
         *
         * @return the running service, with an empty list
         * @throws IOException if the port is in use
         */
        public FakeHostList start() throws IOException {
            FakeHostList list = new FakeHostList(this);
            list.startServer();
            return list;
        }
    }
}
