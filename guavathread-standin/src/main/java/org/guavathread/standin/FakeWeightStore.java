package org.guavathread.standin;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A weight store whose readers share one rate. {@code GET /weights} returns the rate and the number of active reads,
 * {@code GET /weights/NAME/info} returns the size, and {@code GET /weights/NAME} sends that many bytes.
 */
public final class FakeWeightStore extends Standin {

    private static final int CHUNK_BYTES = 16 * 1024;

    private final long bytesPerSecond;
    private final Map<String, Long> weights = new ConcurrentHashMap<>();
    private int activeReads;
    private int peakReads;
    private double nextSendAtMillis;

    private FakeWeightStore(Builder builder) {
        super(builder.port);
        this.bytesPerSecond = builder.bytesPerSecond;
    }

    /**
     * Creates a builder.
     *
     * @return a builder with an ephemeral port and a rate of 10 MB/s
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Adds weights.
     *
     * @param name their name, for example {@code "resumidor-3"}
     * @param bytes their size in bytes
     * @return this store
     */
    public FakeWeightStore put(String name, long bytes) {
        weights.put(name, bytes);
        return this;
    }

    /**
     * Returns the largest number of reads that were active at the same time.
     *
     * @return the number
     */
    public synchronized int peakReads() {
        return peakReads;
    }

    @Override
    void run(Call call) {
        if (call.is("GET /weights")) {
            synchronized (this) {
                call.answer(
                        200,
                        Call.MAPPER
                                .createObjectNode()
                                .put("bytesPerSecond", bytesPerSecond)
                                .put("activeReads", activeReads));
            }
            return;
        }
        String name = call.startsWith("GET /weights/") ? call.pathAfter("/weights/") : "";
        boolean info = name.endsWith("/info");
        Long bytes = weights.get(info ? name.substring(0, name.length() - "/info".length()) : name);
        if (bytes == null) {
            call.answer(404);
        } else if (info) {
            call.answer(200, Call.MAPPER.createObjectNode().put("bytes", bytes));
        } else if (call.beginStream("application/octet-stream")) {
            onReadStarted();
            send(call, bytes);
        }
    }

    private synchronized void onReadStarted() {
        activeReads++;
        peakReads = Math.max(peakReads, activeReads);
    }

    private synchronized void onReadEnded() {
        activeReads = Math.max(0, activeReads - 1);
    }

    private void send(Call call, long remainingBytes) {
        int chunkBytes = (int) Math.min(CHUNK_BYTES, remainingBytes);
        long delayMillis;
        synchronized (this) {
            nextSendAtMillis = Math.max(nextSendAtMillis, nowMillis()) + chunkBytes * 1000.0 / bytesPerSecond;
            delayMillis = Math.round(nextSendAtMillis - nowMillis());
        }
        later(delayMillis, () -> {
            if (!call.write(new byte[chunkBytes])) {
                onReadEnded();
            } else if (remainingBytes > chunkBytes) {
                send(call, remainingBytes - chunkBytes);
            } else {
                onReadEnded();
                call.endStream();
            }
        });
    }

    @Override
    boolean control(Call call) {
        if (!call.startsWith("PUT /standin/weights/")) {
            return false;
        }
        put(call.pathAfter("/standin/weights/"), Long.parseLong(call.query("bytes", "0")));
        call.answer(200);
        return true;
    }

    @Override
    synchronized void clearState() {
        activeReads = 0;
    }

    /** Builds a weight store. */
    public static final class Builder {

        private int port;
        private long bytesPerSecond = 10_000_000;

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
         * Sets the rate that all readers share.
         *
         * @param rate bytes per second
         * @return this builder
         */
        public Builder bytesPerSecond(long rate) {
            this.bytesPerSecond = rate;
            return this;
        }

        /**
         * Starts the store.
         *
         * @return the running store, without weights
         * @throws IOException if the port is in use
         */
        public FakeWeightStore start() throws IOException {
            FakeWeightStore store = new FakeWeightStore(this);
            store.startServer();
            return store;
        }
    }
}
