package org.guavathread.standin;

import java.util.List;

/**
 * Settings that the builders of prefill and decode engines share.
 *
 * @param <B> the builder itself
 */
public abstract class EngineBuilder<B extends EngineBuilder<B>> {

    private int port;
    private int memoryPieces;
    private List<String> models = List.of("resumidor");
    private boolean checksOrders = true;
    private long startFencing;
    private long loadLagMillis;
    private String weightStore = "";

    EngineBuilder(int memoryPieces) {
        this.memoryPieces = memoryPieces;
    }

    abstract B self();

    final int port() {
        return port;
    }

    final EngineSettings settings() {
        return new EngineSettings(memoryPieces, models, checksOrders, startFencing, loadLagMillis, weightStore);
    }

    /**
     * Sets the port.
     *
     * @param number the port; 0, the default, selects a free port
     * @return this builder
     */
    public final B port(int number) {
        this.port = number;
        return self();
    }

    /**
     * Sets the decode memory.
     *
     * @param pieces number of pieces; the default is 20 for a decode engine and 0 for a prefill engine
     * @return this builder
     */
    public final B memoryPieces(int pieces) {
        this.memoryPieces = pieces;
        return self();
    }

    /**
     * Sets the models that are loaded initially.
     *
     * @param names the model names; the default is {@code "resumidor"}
     * @return this builder
     */
    public final B models(String... names) {
        this.models = List.of(names);
        return self();
    }

    /**
     * Sets whether orders with an old fencing number are refused.
     *
     * @param checks true, the default, to refuse them
     * @return this builder
     */
    public final B checksOrders(boolean checks) {
        this.checksOrders = checks;
        return self();
    }

    /**
     * Sets the initial fencing number.
     *
     * @param number the number; the default is 0
     * @return this builder
     */
    public final B startFencing(long number) {
        this.startFencing = number;
        return self();
    }

    /**
     * Sets the age of load reports.
     *
     * @param millis milliseconds; the default is 0
     * @return this builder
     */
    public final B loadLagMillis(long millis) {
        this.loadLagMillis = millis;
        return self();
    }

    /**
     * Sets the weight store from which the engine loads models when ordered to.
     *
     * @param address its address; without it, models are loaded immediately
     * @return this builder
     */
    public final B weightStore(String address) {
        this.weightStore = address;
        return self();
    }
}
