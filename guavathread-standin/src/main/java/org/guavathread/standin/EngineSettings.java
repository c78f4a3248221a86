package org.guavathread.standin;

import java.util.List;

/**
 * Settings that prefill and decode engines share.
 *
 * @param memoryPieces number of decode memory pieces
 * @param models models that are loaded initially
 * @param checksOrders whether orders with an old fencing number are refused
 * @param startFencing initial fencing number
 * @param loadLagMillis age of load reports in milliseconds
 * @param weightStore address of the weight store, or an empty string to load models immediately
 */
record EngineSettings(
        int memoryPieces,
        List<String> models,
        boolean checksOrders,
        long startFencing,
        long loadLagMillis,
        String weightStore) {}
